package event

import "log/slog"

// Events of the relay, of a gateway instance's view of the metadata store, and of
// its load orders, settings and prompt caches.
var (
	RelayServed      = define(rangeRelay+1, "relay-served", slog.LevelInfo, "A request was answered with an endpoint's response.", "")
	RelayRefused     = define(rangeRelay+2, "relay-refused", slog.LevelWarn, "A request was answered with a failure that the instance itself reports; the attribute ran says whether the request may have run.", "See the attributes reason and cause.")
	RelayLost        = define(rangeRelay+3, "relay-lost", slog.LevelWarn, "An attempt was sent and no complete response arrived.", "If this lasts, check the endpoint.")
	RelayUnreachable = define(rangeRelay+4, "relay-unreachable", slog.LevelWarn, "No connection to an endpoint could be established.", "If this lasts, check the endpoint.")
	RelayBroken      = define(rangeRelay+5, "relay-broken", slog.LevelWarn, "A response was aborted after a part of it had been sent to the caller.", "See the attribute cause.")
	StreamResumed    = define(rangeRelay+31, "stream-resumed", slog.LevelInfo, "A stream of which the caller has got events is about to go on at an endpoint. The attributes are the attempt that brought the first event, if the caller names one, the last event and the software version of the endpoint, which is the one that began the stream.", "")
	DetourBegun      = define(rangeRelay+32, "detour-begun", slog.LevelWarn, "This instance can't reach an endpoint that others reach; its connections go through them.", "If this lasts, check the network path from this instance to the endpoint.")
	DetourEnded      = define(rangeRelay+33, "detour-ended", slog.LevelInfo, "This instance reaches an endpoint by its own path again.", "")
	ServiceBrittle   = define(rangeRelay+34, "service-brittle", slog.LevelWarn, "An endpoint said that it is brittle: it falls over if it turns away too many requests. This instance now has only its part of the slots of all endpoints of the service.", "If this lasts, add endpoints or find out why they are brittle.")
	EvacuationBegun  = define(rangeRelay+40, "evacuation-begun", slog.LevelWarn, "The operator evacuates a data centre: this instance sends nothing more to its endpoints.", "Remove the key when the evacuation is over.")
	EvacuationEnded  = define(rangeRelay+41, "evacuation-ended", slog.LevelInfo, "The evacuation of a data centre is over: its key was removed, or was not written again after the metadata store had come back from an older copy without it.", "")
	EndpointCold     = define(rangeRelay+42, "endpoint-cold", slog.LevelInfo, "An endpoint is cold: until the time in the attribute for is over, this instance sends it at most its share of the requests that the configuration allows.", "")
	RampBegun        = define(rangeRelay+43, "ramp-begun", slog.LevelInfo, "An endpoint has started or recovered: the rate of requests to it, from all instances together, rises from a small one as it responds on time. Instances that hear of it from others do not log it.", "If it begins again and again, check the endpoint.")
	RampEnded        = define(rangeRelay+44, "ramp-ended", slog.LevelInfo, "An endpoint takes its usual share of the requests again, or did not get there in 20 s.", "If it took 20 s, check the endpoint.")
	RelayCallerGone  = define(rangeRelay+6, "relay-caller-gone", slog.LevelInfo, "A caller closed its connection before its response was complete.", "")

	ConfigInForce         = define(rangeRelay+11, "config-in-force", slog.LevelInfo, "A configuration came into force in this instance.", "")
	WeightsWanted         = define(rangeRelay+12, "weights-wanted", slog.LevelInfo, "The weight versions that the models should have were changed.", "")
	StoreEntryInvalid     = define(rangeRelay+13, "entry-unreadable", slog.LevelWarn, "The value of a key in the metadata store can't be decoded or is not valid for the key; it is ignored.", "Find out which other program writes to the key.")
	EndpointListed        = define(rangeRelay+14, "endpoint-listed", slog.LevelInfo, "An endpoint's entry in the metadata store is new or has changed.", "")
	EndpointUnlisted      = define(rangeRelay+15, "endpoint-unlisted", slog.LevelInfo, "An endpoint's entry was removed from the metadata store.", "")
	MetadataStoreLost     = define(rangeRelay+16, "store-lost", slog.LevelWarn, "The metadata store does not answer this instance.", "If this lasts, check the store and the network path to it.")
	MetadataStoreRegained = define(rangeRelay+17, "store-regained", slog.LevelInfo, "The metadata store answers again.", "")
	LoadOrderSent         = define(rangeRelay+18, "load-order-sent", slog.LevelInfo, "An endpoint was ordered to load weights.", "")
	LoadOrderFailed       = define(rangeRelay+19, "load-order-failed", slog.LevelWarn, "An endpoint did not answer an order or refused it.", "If this lasts, check the endpoint.")
	SettingsReloaded      = define(rangeRelay+20, "settings-reloaded", slog.LevelInfo, "The settings file was read again.", "")
	SettingsAtFault       = define(rangeRelay+21, "settings-at-fault", slog.LevelError, "The settings file can't be used; the previous settings stay in force.", "Correct the file.")
	CacheStoreLost        = define(rangeRelay+23, "cache-store-lost", slog.LevelWarn, "A prompt cache store does not answer; nothing is fetched from it or saved to it.", "If this lasts, check the store.")
	CacheStoreRegained    = define(rangeRelay+24, "cache-store-regained", slog.LevelInfo, "A prompt cache store answers again.", "")
	CacheFreed            = define(rangeRelay+25, "cache-freed", slog.LevelInfo, "Parts of prompts that a store had cached were freed because they had been prefilled with weights that are now replaced; if the attribute error is present, freeing them failed.", "")
	EndpointLeaving       = define(rangeRelay+26, "endpoint-leaving", slog.LevelInfo, "An endpoint told this instance, or another one, that it leaves; it gets no new requests unless no other endpoint can take them.", "")
	EndpointPaused        = define(rangeRelay+27, "endpoint-paused", slog.LevelInfo, "An endpoint asked this instance for no requests for a time.", "If all endpoints of a service do so, it is overloaded.")
	NoticeInvalid         = define(rangeRelay+28, "notice-invalid", slog.LevelWarn, "A header by which an endpoint asks for a pause or names a limit can't be decoded; it is ignored.", "Correct the endpoint's software.")
	EndpointLimited       = define(rangeRelay+30, "endpoint-limited", slog.LevelInfo, "A response of an endpoint to this instance named a limit, that is, how many requests a second the endpoint takes from all instances together, or ended it.", "If all endpoints of a service do so, it is overloaded.")
	StoreEraRose          = define(rangeRelay+29, "store-era-rose", slog.LevelWarn, "The metadata store came back from an older copy. What was in force stays in force; what this instance had written there is written again.", "Check that the operator's and the endpoints' entries are written again.")
	LogDropped            = define(rangeRelay+22, "log-dropped", slog.LevelWarn, "Log lines were dropped to bound the volume of the log.", "")
)
