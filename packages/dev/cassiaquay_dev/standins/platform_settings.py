"""Settings of the platform stand-in."""

import typing


class PlatformSettings(typing.NamedTuple):
    """Settings of the platform; each is a command-line flag of the same name.

    The configuration service allows ``config_calls`` calls in each window of
    ``config_window_seconds``; 0 means no limit. ``weights_concurrent`` and
    ``weights_per_second`` limit the transfers of the weight store. ``config_file`` is
    the file with the text of revision 1.
    """

    port: int = 0
    config_file: str = ""
    config_calls: int = 0
    config_window_seconds: float = 60.0
    instances_lag_ms: float = 500.0
    weights_concurrent: int = 4
    weights_per_second: float = 10.0
    weights_transfer_ms: float = 500.0
    weights_retry_seconds: float = 1.0
