"""The base of the platform's documents."""

import pydantic as pd


class PlatformDocument(pd.BaseModel):
    """A document whose unknown fields are left out.

    Fields have the product's names; aliases are the platform's.
    """

    model_config = pd.ConfigDict(extra='ignore', populate_by_name=True)
