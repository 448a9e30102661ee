"""Names on the platform's wire."""

REQUEST_ID = "Attempt-Id"
DEADLINE_MS = "Deadline-Ms"
LAST_EVENT_ID = "Last-Event-Id"
# Signature of the endpoint that answered; it is passed on unchanged.
SIGNATURE = "Response-Seal"
EXPECT_INSTANCE = "Expect-Instance"
INSTANCE = "Instance-Id"
# "running,waiting,slots" of the endpoint that answered.
LOAD = "Server-Load"
NOT_RUN = "Not-Executed"
MODEL = "Model"
# "prompt tokens,most output tokens".
TOKENS = "Token-Usage"
# Parts of the prompt in order, "id:tokens" separated by commas.
PROMPT_PARTS = "Prompt-Prefix"
PRIORITY = "Request-Priority"
RETRY_AFTER = "Retry-After"

# Headers that steer engines; what callers send under these names is dropped.
OWN_HEADERS = frozenset(
    name.lower()
    for name in (
        EXPECT_INSTANCE,
        PRIORITY,
        DEADLINE_MS,
        "Expect-Version",
        "Pin-Ms",
        "Hold",
        "Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
    )
)
HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)

CONFIG_TABLE = "op"
CONFIG_KEY = "config"
ENDPOINT_TABLE = "servers"
OWN_TABLE = "catkinhook"
LEASE_KEY = "orders"

SETTINGS_VARIABLE = "CATKINHOOK_BOOT"
