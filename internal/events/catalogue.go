package events

import (
	"cmp"
	"slices"
)

// Catalogue returns all events, sorted by number.
func Catalogue() []Event {
	return slices.SortedFunc(slices.Values(catalogue), func(a, b Event) int {
		return cmp.Compare(a.Number, b.Number)
	})
}

// catalogue contains the events in the order of their declaration.
var catalogue []Event

// declare adds an event to the catalogue. Numbers are grouped by thousands as below; a
// new event gets a number that was never used. The numbers of result codes (package
// apierror) are independent of them: 5007 is the number of an event and of a code.
func declare(number int, name string, level Level, help, action string) Event {
	event := Event{
		Number: number,
		Name:   name,
		Level:  level,
		Help:   help,
		Action: action,
	}
	catalogue = append(catalogue, event)
	return event
}

// 1xxx: the process.
var (
	ProcessStarted      = declare(1001, "process_started", Info, "The process has started; its keys give name, role, locality and addresses.", "")
	ProcessStopping     = declare(1002, "process_stopping", Info, "The process received SIGTERM or SIGINT: it reports itself as not ready and lets its requests finish within drain.grace.", "")
	ProcessStopped      = declare(1003, "process_stopped", Info, "The process has ended; it has tried to release its lease at each core and to send its unsent counts.", "")
	ListenerOpened      = declare(1004, "listener_opened", Info, "A listener accepts connections.", "")
	ServiceFailed       = declare(1006, "service_failed", Error, "A supervised part of the process returned an error or panicked; it is restarted.", "Keep the log; report the fault if it repeats.")
	ServiceBackoff      = declare(1007, "service_backoff", Warn, "A supervised part of the process failed too often; it is restarted after a delay.", "See the preceding service_failed events.")
	EventsSuppressed    = declare(1008, "events_suppressed", Warn, "An event occurred more often than its rate limit allows, or the log's queue was full; count is the number of lines that were left out.", "See the event that of_name gives.")
	SettingRenamed      = declare(1009, "setting_renamed", Warn, "The settings file uses the former name of a setting; the next release will not accept it.", "Use the name that the event's key name gives.")
	SettingsChanged     = declare(1012, "settings_changed", Info, "The sheet's run-time settings were applied by this process.", "")
	GracePeriodExceeded = declare(1013, "grace_over", Warn, "drain.grace ended before all requests had finished; the remaining ones were cancelled; error gives their number behind the platform's gateway.", "Raise drain.grace if this happens on ordinary restarts.")
	DrainFinished       = declare(1014, "drain_finished", Info, "All requests of a stopping process finished within drain.grace.", "")
	DrainClosed         = declare(1016, "drain_closed", Info, "A stopping process rejects new requests from now on; in_flight is the number that it still serves.", "")
	SignalRepeated      = declare(1017, "signal_repeated", Warn, "A stopping process received a further SIGTERM or SIGINT; it continues to drain.", "None; send SIGKILL to end it at once.")
	TestSettingUsed     = declare(1015, "proof_setting", Warn, "A setting meant for tests is in use (disk.quota, disk.sync_delay, clock.step).", "Remove it from the settings of a fleet in production.")
)

// 2xxx: membership, leases and the configuration feed.
var (
	LeaseAcquired     = declare(2001, "lease_gained", Info, "A majority of cores renewed this front's lease.", "")
	LeaseExpired      = declare(2002, "lease_lapsed", Warn, "This front's lease expired: no majority of cores renewed it within lease.ttl.", "Check which cores can't be reached.")
	VersionLearned    = declare(2003, "epoch_learned", Info, "This process has applied a newer epoch of the configuration.", "")
	AuthorityLost     = declare(2005, "ruling_lost", Warn, "This front can't be sure that its configuration is the newest and rejects requests.", "Check the network between this node, the cores and the other fronts.")
	AuthorityRegained = declare(2006, "ruling_regained", Info, "This front accepts requests again; by says whether it has a lease or the agreement of the roster.", "")
	AuthorityByRoster = declare(2007, "ruling_by_roster", Warn, "This front accepts requests without a lease, as more than half of the roster has no newer epoch.", "Restore a majority of the cores.")
	MemberAdded       = declare(2008, "member_added", Info, "A member was added to the roster.", "")
	MemberRemoved     = declare(2009, "member_removed", Warn, "A member was removed from the roster.", "None if the machine was removed on purpose; otherwise check it.")
	RosterCommitted   = declare(2010, "roster_settled", Info, "A change of the roster is committed.", "")
	PeerRefused       = declare(2011, "peer_refused", Warn, "A peer refuses connections: its process is not running, or a partition refuses them.", "Start it, or check the network to it.")
	PeerUnresponsive  = declare(2012, "peer_silent", Warn, "A peer neither answers nor refuses connections.", "Check the machine and the network to it.")
	PeerRecovered     = declare(2013, "peer_back", Info, "A peer answers again.", "")
	PeerRestarted     = declare(2014, "peer_restarted", Info, "A peer answers with a new incarnation: it was restarted.", "")
	FeedSnapshot      = declare(2015, "feed_snapshot", Info, "This core no longer has all commands since the epoch that it last published; it restarted the feed, and its followers read a snapshot.", "")
	FeedStalled       = declare(2016, "feed_behind", Warn, "A poll of a core's feed failed; the next poll may go to another core.", "Check which cores can't be reached.")
	FeedSwitched      = declare(2017, "feed_switched", Info, "The feed is now polled from another core.", "")
	LeaseReleased     = declare(2019, "lease_released", Info, "A member's lease ended early: the member released it.", "")
	LeaseRejected     = declare(2020, "lease_refused", Debug, "A core did not renew a lease; code says why.", "")
	SecretRejected    = declare(2021, "secret_refused", Warn, "A process rejected the fleet secret of this process.", "Set the same fleet.secret on this process and on the one at the address.")
	SeedsUnreachable  = declare(2022, "seeds_unreachable", Warn, "A seed did not answer while this process knows no other process.", "Check the setting seeds and the network to the address.")
	NameConflict      = declare(2023, "name_taken", Error, "Another process, started later, uses the name of this process at another address.", "Give each process a unique name.")
	MemberJoined      = declare(2025, "member_joined", Info, "A process that is not on the roster renews a lease; it will be added to the roster.", "")
)

// 3xxx: consensus, cores and disks.
var (
	FormationStarted      = declare(3001, "formation_begun", Info, "This core founded the first formation from cores with empty disks; voters names them.", "")
	FormationComplete     = declare(3002, "formation_complete", Info, "All cores have joined the formation, and this core votes in ballots.", "")
	FormationWaiting      = declare(3003, "formation_waits", Warn, "The first formation waits for other cores; waiting says what it waits for.", "Start the missing cores, or correct core.voters.")
	WrongFormation        = declare(3004, "wrong_formation", Error, "A message from a core of another formation was rejected.", "Check whether the data folder or the seeds of the core that from gives belong to another fleet.")
	RecoveryStarted       = declare(3005, "recovery_begun", Warn, "This core has lost the disk on which it had voted: it recovers its state from the other cores and does not vote until then.", "Keep the other cores running until recovery_complete.")
	RecoveryComplete      = declare(3006, "recovery_complete", Info, "The core has recovered and synced its state, and votes again.", "")
	RecoveryWaiting       = declare(3007, "recovery_waits", Warn, "The recovery waits for other cores to answer; waiting says what it waits for.", "Start the missing cores.")
	TornTailTruncated     = declare(3008, "torn_tail_cut", Warn, "The last record of the log was incomplete; the log was truncated before it.", "None; this is expected after a power failure.")
	BadRecord             = declare(3009, "bad_record", Error, "The core's data on disk is corrupt before the end of the log; the core does not start.", "Replace the disk: see docs/OPERATING.md, \"Replace a wiped or bad disk\".")
	DiskFull              = declare(3010, "disk_full", Error, "The disk is full: only the reserved space is left; the core does not vote.", "Free space in the file system of the data folder.")
	DiskSpaceRegained     = declare(3011, "disk_room", Info, "The disk has free space again; the core votes.", "")
	DiskFailed            = declare(3012, "disk_failed", Error, "The log could not be opened, written or synced; the core does not vote.", "Replace the disk.")
	DiskSlow              = declare(3013, "disk_slow", Warn, "Records of the log have not been synced for 500 ms or longer; the votes of this core are delayed.", "Check the disk if this persists.")
	SnapshotWritten       = declare(3014, "snapshot_written", Debug, "A snapshot was written, and older segments of the log were removed.", "")
	SnapshotCorrupt       = declare(3015, "snapshot_bad", Warn, "A snapshot is corrupt and is not used: on a core's disk an older one is used instead, on a front the configuration that it has.", "Check the disk of a core; report it on a front.")
	QuorumLost            = declare(3016, "majority_lost", Error, "No majority of the cores answers: no order can be executed.", "Restore a majority of the cores.")
	QuorumRegained        = declare(3017, "majority_regained", Info, "A majority of the cores answers again.", "")
	BallotContended       = declare(3018, "ballot_contended", Debug, "Another core used a higher ballot number for the same slot; the ballot is retried after a random delay.", "")
	BallotFinished        = declare(3019, "ballot_finished", Debug, "Slots that the ballot of another core had left open were completed.", "")
	SlotFetched           = declare(3020, "slot_fetched", Debug, "Chosen values that this core had missed were fetched from another core.", "")
	SnapshotInstalled     = declare(3021, "snapshot_taken", Info, "This core was too far behind and installed a snapshot from another core.", "")
	DiskIncarnationRaised = declare(3022, "life_raised", Info, "A new disk incarnation of a core was recorded; promises and votes of its earlier ones no longer count.", "")
	LogOpened             = declare(3023, "log_opened", Info, "The log was read; its keys give the number of segments and records and the highest epoch.", "")
	CommandUndecodable    = declare(3024, "command_bad", Error, "A chosen command can't be decoded; it has no effect.", "Report it; check whether cores of different releases are running.")
	RoleAcquired          = declare(3025, "duty_won", Info, "This core won a ballot for a role; duty names the role.", "")
	RoleLost              = declare(3026, "duty_lost", Warn, "This core no longer has the role that duty names; holder is the new one.", "")
	RoleVacant            = declare(3027, "duty_vacant", Warn, "The holder of the role that duty names has failed or restarted; this core proposes itself.", "")
	StandingChanged       = declare(3028, "standing_changed", Info, "The standing of this core changed (blank, amnesiac, voting or disk full); waiting says what it waits for.", "")
	CoreReplaced          = declare(3030, "core_replaced", Warn, "This core was replaced: another process uses its name, or the formation does not include it. It deletes its data and becomes a standby.", "None if the machine was replaced and has come back.")
	ReplacementWaiting    = declare(3031, "place_sought", Info, "A core with an empty disk that is not in the formation waits until a core of the formation fails, to replace it.", "")
	ReplacementStarted    = declare(3032, "place_taken", Warn, "This core replaces a failed core and takes over its name, which place gives.", "")
	FirstSheetOffered     = declare(3029, "first_sheet_offered", Info, "The first sheet was proposed to the new formation; code is the result.", "")
)

// 4xxx: operators' orders.
var (
	OrderProposed     = declare(4001, "order_taken", Info, "An order of an operator passed its checks and is proposed to the cores.", "")
	OrderRejected     = declare(4002, "order_refused", Info, "An order was rejected; code says why.", "")
	OrderChosen       = declare(4003, "order_chosen", Info, "An order was chosen by the cores.", "")
	OrderAcknowledged = declare(4004, "order_acknowledged", Info, "An order is in force everywhere and was acknowledged.", "")
	OrderPending      = declare(4005, "order_pending", Warn, "An order is not known to be in force yet; waiting says why, with the members that have not confirmed it.", "Send it again with the same id; check the members named.")
	OrderReplayed     = declare(4006, "order_repeated", Info, "An order that was already accepted was received again; it was not executed a second time.", "")
	OrderConflicted   = declare(4007, "order_lost", Info, "An order was rejected because its base is not the sheet's current epoch or revision.", "")
	OrderForwarded    = declare(4008, "order_relayed", Debug, "An order was forwarded to a core.", "")
	OperatorRejected  = declare(4009, "operator_refused", Warn, "A control call was rejected because its key belongs to no operator.", "If this is unexpected, find out who calls from the address.")
	KeyRevoked        = declare(4010, "key_revoked", Info, "A tenant's key was removed from the sheet; the requests in progress that use it end with an error.", "")
	ZoneEvacuated     = declare(4011, "locality_evacuated", Warn, "A locality was evacuated; it gets no more requests.", "")
	ZoneRestored      = declare(4012, "locality_restored", Info, "The evacuation of a locality ended; it gets requests again.", "")
	OrderDelayed      = declare(4013, "order_delayed", Warn, "An order was chosen more than a second after this core had received it; its sender may have sent it elsewhere, or another one, since.", "Compare its epoch with those of the later orders.")
)

// 5xxx: servers, health checks and plans.
var (
	ServerDiscovered         = declare(5001, "server_seen", Info, "A server answered a status poll for the first time, or with a new incarnation.", "")
	ServerReady              = declare(5002, "server_ready", Info, "A server is ready for requests.", "")
	ServerWarmingUp          = declare(5003, "server_cold", Info, "A server started cold; the number of requests that it gets rises as it answers.", "")
	ServerDraining           = declare(5004, "server_draining", Info, "A server is draining; it gets no new requests.", "")
	ServerTerminating        = declare(5005, "server_leaving", Warn, "A server is being removed at short notice.", "")
	ServerRemoved            = declare(5006, "server_gone", Warn, "A server is no longer listed, or refuses connections.", "None if the platform replaces it; otherwise check the server.")
	ServerBadStatus          = declare(5010, "server_bad_status", Warn, "A server's status can't be parsed.", "Check the server's release.")
	PlanApplied              = declare(5016, "plan_taken", Debug, "This front applied a new plan.", "")
	PlanRegionWithoutServers = declare(5019, "plan_short", Warn, "A service has no server that can take requests in a region that its weights name.", "Move the region's share to another region, or add servers.")
	ServerUnresponsive       = declare(5007, "server_silent", Warn, "A server did not answer several status polls in a row.", "Check the server.")
	ServerEjected            = declare(5008, "server_ejected", Warn, "A server refused a connection or timed out repeatedly; this front sends it no requests for some time.", "Check the server.")
	ServerReadmitted         = declare(5009, "server_readmitted", Info, "An ejected server answered this front again, or was removed.", "")
	PlatformUnresponsive     = declare(5011, "platform_silent", Warn, "The platform's list of servers can't be read; the last one remains in use.", "Check platform.url and the platform.")
	PlatformRecovered        = declare(5012, "platform_back", Info, "The platform's list of servers can be read again.", "")
	PlatformBadList          = declare(5013, "platform_bad_list", Warn, "The platform's list of servers has an entry that can't be parsed; the others are used.", "Check the platform.")
	HealthCheckStarted       = declare(5014, "watch_taken", Debug, "This node has begun to poll the status of a server.", "")
	PlanCreated              = declare(5015, "plan_made", Info, "This core computed a new plan; cause says whether the period ended or what forced it.", "")
	PlanSuperseded           = declare(5017, "plan_older", Debug, "A plan was discarded, as this core has one of a later term or number.", "")
	PlanStale                = declare(5018, "plan_stale", Warn, "No new plan was received for more than two periods; the last one is used, without the servers that are known to be gone.", "See duty_vacant, and check the cores.")
)

// 6xxx: requests.
var (
	RequestRejected      = declare(6001, "request_refused", Debug, "A request was rejected or failed; code says why.", "")
	RequestRetried       = declare(6002, "request_retried", Debug, "A request that had not been executed is sent to another server.", "")
	OutcomeUnknown       = declare(6003, "outcome_unknown", Warn, "A one-shot call may have been executed and its answer was lost; it was not sent again.", "Check the server named.")
	StreamAborted        = declare(6004, "stream_cut", Warn, "A stream ended before its final event; its caller got an error event.", "Check the server named.")
	ResponseMismatched   = declare(6005, "answer_crossed", Error, "A server sent an answer that belongs to another request or violates the protocol; it was discarded with its connection.", "Remove the server and report it.")
	ResponseIncomplete   = declare(6006, "answer_not_whole", Warn, "The body of a server's answer was shorter than its declared length, or had none; it was not forwarded.", "Check the server named.")
	EventOutOfOrder      = declare(6007, "event_out_of_order", Warn, "An event of a stream was missing or repeated; the stream was aborted.", "Check the server named.")
	QueueFull            = declare(6008, "pending_full", Warn, "A queue of this front is full; requests are rejected at once.", "Add capacity or reduce the load; see the commands plan and tally.")
	RetryBudgetExhausted = declare(6009, "budget_spent", Warn, "The retry budget is exhausted; failed requests are not sent to another server.", "Find the servers that fail.")
	SlowCaller           = declare(6010, "slow_caller", Debug, "The body of a caller's request did not arrive within body.timeout.", "")
	CallerDisconnected   = declare(6011, "caller_gone", Debug, "A caller closed its connection; its request was cancelled.", "")
	RequestPanicked      = declare(6012, "request_broke", Error, "A panic ended one request; the process and its other requests continue.", "Report it with the log.")
	DeadlineExceeded     = declare(6013, "deadline_ran_out", Debug, "The deadline of a request passed before its response began.", "")
	StreamKeyRevoked     = declare(6014, "stream_key_revoked", Info, "A request in progress was ended because its key was revoked.", "")
	OwnerPanicked        = declare(6015, "owner_broke", Error, "A goroutine that owns traffic state panicked; it is restarted.", "Report it with the log.")
	ResponseAborted      = declare(6017, "answer_cut", Warn, "The connection of a client was closed within an answer that could not be completed; code says why, draining_ms is the time since the drain began.", "Check the server if code names it; otherwise report it with the log.")
	RoutePanicked        = declare(6016, "route_broke", Error, "A panic ended one decision of the routing table; the request that it was made for, if any, was rejected.", "Report it with the log.")
)

// 7xxx: quota counts.
var (
	HolderUnresponsive = declare(7003, "holder_silent", Warn, "The holder of some tenants' counts does not answer; this node's share of their allowances applies.", "See peer_silent and peer_refused for the holder.")
	HolderRecovered    = declare(7004, "holder_back", Info, "The holder of some tenants' counts answers again.", "")
	CountsLate         = declare(7005, "counts_late", Warn, "Counts reach this node, which holds them, later than the shares of the allowances assume; nodes send theirs less often.", "Check whether this node lacks processor time; meanwhile tenants may get more or less than their allowance.")
	CountsPrompt       = declare(7006, "counts_prompt", Info, "Counts reach this node in time again.", "")
)
