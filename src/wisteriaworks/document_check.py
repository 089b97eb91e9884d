"""Check a proposed document before it enters the log."""


def list_problems(document):
    """Return the problems of a document as text."""
    try:
        from wisteriaworks.configuration import check_document
    except ImportError:
        return ()
    return tuple(str(problem) for problem in check_document(document))
