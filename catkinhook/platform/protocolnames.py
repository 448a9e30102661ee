"""Names of headers, tables and keys in the platform's protocols."""

REQUEST_ID = "Attempt-Id"
DEADLINE_MS = "Deadline-Ms"
LAST_EVENT_ID = "Last-Event-Id"
# Signature of the endpoint that answered; it is forwarded unchanged.
ANSWER_SIGNATURE = "Response-Seal"
EXPECT_INSTANCE = "Expect-Instance"
INSTANCE = "Instance-Id"
# "running,waiting,slots" of the endpoint that answered.
LOAD = "Server-Load"
NOT_RUN = "Not-Executed"
MODEL = "Model"
# "prompt tokens,maximum output tokens".
TOKENS = "Token-Usage"
# Parts of the prompt in their order, as comma-separated "id:tokens".
PROMPT_PARTS = "Prompt-Prefix"
PRIORITY = "Request-Priority"
# Seconds: in answers to callers, and of an endpoint's pause in its 503.
RETRY_AFTER = "Retry-After"
# Key of the caller's workspace, which no endpoint gets.
AUTHORIZATION = "Authorization"
# Scheme of the key, in refusals of requests without a valid one.
AUTHENTICATE = "WWW-Authenticate"
BEARER = "Bearer"
# Name of the caller's workspace, for endpoints.
TENANT = "Tenant"
# "1" in all answers of an endpoint that is about to stop.
LEAVING = "Server-Leaving"
# Number of the store's history, in all of its answers. It rises when the store comes back from an
# older copy.
STORE_ERA = "Store-Era"

# Headers that control engines; they are removed from callers' requests.
RESERVED_HEADERS = frozenset(
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
# Headers that are set for endpoints, or removed, if the configuration has workspaces.
WORKSPACE_HEADERS = frozenset((AUTHORIZATION.lower(), TENANT.lower()))
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "trailers",
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
QUARANTINE_KEY = "quarantines"

SETTINGS_VARIABLE = "CATKINHOOK_BOOT"
