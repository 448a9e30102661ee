"""Names by which callers ask for models and adapters."""


def split_model(name: str) -> tuple[str, str]:
    """Split ``model/adapter``; the adapter is empty if the name has none."""
    model, _, adapter = name.partition("/")
    return model, adapter
