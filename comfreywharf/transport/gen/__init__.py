__all__ = ['ttypes', 'constants', 'Node']
