"""Descriptions for the reference page: one sentence for each name that is valid in a gateway's file.

`schema.paths` lists the names.
"""

_TLS = {
    "": "TLS with a certificate of its own, or to trust others by.",
    " cert=": "Certificate chain, PEM.",
    " key=": "Its private key, PEM.",
    " trusts=": "Who is trusted, PEM; the system's where it is left out.",
    " mutual=": "Whether the other side must show a certificate.",
    " name=": "The name that the other side's certificate must have.",
}

DESCRIPTIONS = {
    "gateway": "The dispatcher itself.",
    "gateway > zone": (
        "The hall that it stands in; deduplicated activations with the scope `zone` may go again within it."
    ),
    "gateway > listen": "Where webhooks are taken; port 0 takes a free one, which is printed.",
    "gateway > roster": "Where the list of workers is followed, by server-sent events.",
    "gateway > seed": "Of its one source of chance; give each dispatcher another.",
    "gateway > dispatchers": (
        "How many dispatchers there are, this one too: shares and cold budgets are divided by it."
    ),
    "gateway > tick": "How long what waits is gathered before it is decided together.",
    "gateway > tolerance": "How far a webhook's time may be off.",
    "namespace-type": "What the activations of some functions have in common.",
    "namespace-type > target-latency": "An answer within it has its full utility.",
    "namespace-type > action-timeout": "When its client gives up: a final answer comes before.",
    "namespace-type > effect": (
        "What a second run would do: nothing, nothing where the workers know the first, or harm."
    ),
    "namespace-type > scope": (
        "Deduplicated, and must be given then: the group of workers that drop a repeat."
    ),
    "namespace-type > window": "Deduplicated, and must be given then: how long they remember.",
    "namespace-type > remember": (
        "How long an id and its answer are remembered; at least twice the tolerance."
    ),
    "customer": "Who may call; the name is the first part of the path after `/hooks/`.",
    "customer share=": (
        "Activations a second, at all dispatchers together, that it is entitled to; 0: no share is kept."
    ),
    "customer > key": "A key, or a reference to one; several while one is being replaced.",
    "customer > key env=": "The variable of the environment that holds the key.",
    "customer > key file=": "The file that holds the key; nobody else may read it.",
    "function": (
        "A function's whole name, or the beginning of names before a `*`; the longest that fits counts."
    ),
    "function type=": "Its namespace type.",
    "function lanes=": "How many activations a copy runs at a time.",
    "function load-time=": "How long a load is expected to take, until one was seen; 0: not known.",
    "limits": "Bounds on what is held and waited for; all have defaults.",
    "limits > connections": "Connections at a time.",
    "limits > header": "Bytes of one request's head.",
    "limits > body": "Bytes of one request's body.",
    "limits > head-within": "From a request's first byte to the end of its head.",
    "limits > body-within": "From there to the end of its body.",
    "limits > idle": "How long a connection may say nothing between two requests.",
    "limits > pipeline": "Requests read ahead on one connection.",
    "limits > held": "Activations that are owed an answer, at a time.",
    "limits > per-customer": "The part of them that one customer may hold.",
    "limits > ledger": "Ids remembered.",
    "limits > results": "Bytes of answers remembered for retries.",
    "limits > handshakes": "New connections at a time that have not finished a first request.",
    "limits > bytes": "Bytes of requests held before they are taken.",
    "mqtt": "Triggers from a broker; without it there are none.",
    "mqtt > window": (
        "Activations of one customer under way at a time; it moves between these with the answers."
    ),
    "mqtt > window least=": "It never falls under this.",
    "mqtt > window most=": "It never grows over this.",
    "mqtt > password": "Of the user, in the clear: better a file.",
    "mqtt > password-file": "The file that holds it.",
    "mqtt > broker": "Where the broker listens.",
    "mqtt > user": "As whom it connects.",
    "mqtt > group": "The shared subscription that dispatchers divide messages by.",
    "mqtt > keep-alive": "A connection silent for longer is given up; whole seconds.",
    "mqtt > session": "How long the broker keeps a session without a connection.",
    "mqtt > connect-within": "How long a connection may take.",
    "mqtt > packet": "Bytes of one packet.",
    "mqtt > answers": "Answers that wait for the broker, for each customer.",
    "mqtt > come-back": "The first pause before it connects again.",
    "mqtt > come-back-most": "The longest.",
    "early": "Loads ahead of forecast use; without it there are none.",
    "early > event": "A known date: functions whose names begin so are used more by a factor.",
    "early > event from=": "When it begins.",
    "early > event for=": "How long it lasts.",
    "early > event factor=": "How many times more they are used.",
    "early > season": "What repeats, a day in service.",
    "early > slot": "The time that a forecast counts calls in.",
    "early > weeks": "Whether days of the week differ.",
    "early > fetch-price": "The cold wait that a fetch from the store is worth.",
    "early > memory-price": "The seconds of cold wait that a gigabyte held idle for a second is worth.",
    "early > copy-size": "A usual copy.",
    "early > memory": "What early copies of this dispatcher may hold together; 0: no bound.",
    "history": "Use over time, kept in columns for forecasts and people.",
    "history > folder": "Where it is kept.",
    "history > keep": "Days.",
    "history > most": "Bytes on disk.",
    "state": "What survives a restart: ids, outcomes, load orders.",
    "state > folder": "Where it is kept; each dispatcher needs its own.",
    "state > durability": "Whether what is kept survives the end of the process, or of the machine too.",
    "control": "The socket by which `petrelwood upgrade` finds the running dispatcher.",
    "versions": "The folder of versions that all dispatchers follow.",
    "configuration": "The servers that versions of the settings come from, into the folder of `versions`.",
    "configuration > server": "The address of one of them.",
    "configuration > within": "A version is in force everywhere so long after it was published.",
    "health": "The socket of the speaker that announces this dispatcher's address; beats go there.",
    "damp-storms": "Whether storms are damped.",
    "workers": "What workers guarantee, and how they are spoken to.",
    "workers > cold": "A worker is warm so long after its start.",
    "workers > cold from=": "The part of its capacity that it starts with.",
    "workers > fall": "A cold worker that is given too much falls over: over how long that is counted.",
    "workers > fall multiple=": "How many times what it bears it may be given in that time.",
    "workers > sends": "Sends of one activation at most.",
    "workers > sends overlap=": "Whether two of them may be out at a time.",
    "workers > ration": "How many load orders there may be, renewals and early loads too.",
    "workers > ration free=": "So many in any case.",
    "workers > ration part=": "And this part of the activations taken.",
    "workers > ration period=": "In each such period.",
    "workers > keep": "An idle copy stays at least so long.",
    "workers > on-miss": "What a worker without a copy does with an activation.",
    "workers > connect-within": "How long a connection may take.",
    "workers > queue": "Bytes that wait to be written to one worker.",
    "workers > frame": "Bytes of one message.",
    "workers > quiet": "A link on which something is owed and nothing is heard for so long is given up.",
    "workers > drain-grace": (
        "After word that a worker drains or is gone nothing is sent to it later than this."
    ),
    "workers > order-within": "How long a load order may take to be answered.",
    "workers > orders": "Whether there are load orders.",
    "workers > cancel": "Whether a send can be taken back.",
    "workers > probe": "Whether a worker can be asked how it is.",
    "workers > most-retry-after": "The latest that a client is told to come back.",
    "workers > reports": "Whether load is reported with answers or only when asked.",
    **{
        f"{where} > tls{rest}": text
        for where in ("gateway", "mqtt", "workers")
        for rest, text in _TLS.items()
    },
}
