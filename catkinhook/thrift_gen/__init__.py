__all__ = ['ttypes', 'constants', 'Controller']
