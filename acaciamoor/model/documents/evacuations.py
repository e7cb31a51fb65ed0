"""Document of the evacuation of a data centre."""

import pydantic

from acaciamoor.model.documents import checks

EVACUATION_KIND = 'evacuations'


class EvacuationDocument(checks.Document):
    """Who ordered an evacuation and when.

    The object is named after the data centre. Unknown fields are ignored,
    because the existence of the object evacuates whatever it contains.
    """

    model_config = pydantic.ConfigDict(extra='ignore')

    written_by: str = pydantic.Field('', max_length=200)
    written_at: pydantic.AwareDatetime | None = None
