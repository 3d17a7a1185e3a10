"""Base class of the platform's documents."""

import pydantic as pd


class PlatformDocument(pd.BaseModel):
    """A document whose unknown fields are ignored.

    Fields have the router's names; aliases are the names on the wire.
    """

    model_config = pd.ConfigDict(extra='ignore', populate_by_name=True)
