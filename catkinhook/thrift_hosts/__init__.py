__all__ = ['ttypes', 'constants', 'Host']
