"""The control process of a VM without a disk. It imports as little as possible."""
