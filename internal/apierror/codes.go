// Package apierror defines the result codes that clients and operators receive
// and the error type that carries one.
package apierror

import "net/http"

// Code is the number of a result. Numbers never change meaning. docs/CODES.md
// is generated from Codes.
type Code uint32

// Result codes. 1xxx concern the request, 2xxx limits and capacity, 3xxx the
// outcome of calls and streams, 4xxx orders, 5xxx the cores, the fleet's
// configuration and its state.
const (
	OK Code = 0

	BadJSON          Code = 1001
	UnknownField     Code = 1002
	BodyTooLarge     Code = 1003
	MissingKey       Code = 1004
	UnknownKey       Code = 1005
	UnknownService   Code = 1006
	BadDeadline      Code = 1007
	MissingField     Code = 1008
	UnknownPath      Code = 1009
	BadMethod        Code = 1010
	HeaderTooLarge   Code = 1011
	SlowBody         Code = 1012
	WrongServiceKind Code = 1013
	BadField         Code = 1014
	UnknownRoute     Code = 1015

	QuotaExceeded        Code = 2001
	ShareExceeded        Code = 2002
	QueueFull            Code = 2003
	NoServer             Code = 2004
	DeadlineTooShort     Code = 2005
	NoAuthority          Code = 2006
	FrontDraining        Code = 2007
	NoPlan               Code = 2008
	RetryBudgetExhausted Code = 2009
	NoSheet              Code = 2010

	NotExecuted        Code = 3001
	OutcomeUnknown     Code = 3002
	DeadlineExceeded   Code = 3003
	StreamAborted      Code = 3004
	BadResponse        Code = 3005
	KeyRevoked         Code = 3006
	CallerDisconnected Code = 3007
	StreamNotStarted   Code = 3008
	DeadlineUnknown    Code = 3009

	BaseConflict    Code = 4001
	OutcomePending  Code = 4002
	InvalidSheet    Code = 4003
	SheetTooLarge   Code = 4004
	OperatorUnknown Code = 4005
	UnknownZone     Code = 4006
	UnknownMember   Code = 4007
	InvalidChange   Code = 4008
	OrderIDReused   Code = 4009
	UnknownVersion  Code = 4010

	NoMajority      Code = 5001
	CoreRecovering  Code = 5002
	CoreBlank       Code = 5003
	DiskFull        Code = 5004
	CoreUnreachable Code = 5005
	WrongFormation  Code = 5006
	BadRecord       Code = 5007
	NotCore         Code = 5008
	BadSecret       Code = 5009
	VersionBehind   Code = 5010
	Internal        Code = 5099
	BadSetting      Code = 5100
	NotFound        Code = 5101
)

// RetryAdvice tells a client whether and how to retry after a result.
type RetryAdvice string

// Values of RetryAdvice.
const (
	RetryNo    RetryAdvice = "no"    // the same request would get the same result
	RetryLater RetryAdvice = "later" // safe to retry after retry_after_ms
	RetrySame  RetryAdvice = "same"  // retry with the same order id: the order is executed at most once
	RetryCheck RetryAdvice = "check" // the call may have been executed: find out before a retry
)

// CodeInfo describes one result code.
type CodeInfo struct {
	Code   Code
	Name   string
	Status int // HTTP status
	Retry  RetryAdvice
	Help   string
}

// Codes is the table of result codes, sorted by number.
var Codes = []CodeInfo{
	{OK, "ok", http.StatusOK, RetryNo, "The request succeeded."},
	{BadJSON, "bad_json", http.StatusBadRequest, RetryNo, "The body is incomplete or not a single JSON value of the expected form."},
	{UnknownField, "unknown_field", http.StatusBadRequest, RetryNo, "The request has a field or query parameter that the call does not know."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, RetryNo, "The body exceeds its size limit."},
	{MissingKey, "missing_key", http.StatusUnauthorized, RetryNo, "The request carries no key."},
	{UnknownKey, "unknown_key", http.StatusForbidden, RetryNo, "The key belongs to no tenant of the sheet in force."},
	{UnknownService, "unknown_service", http.StatusNotFound, RetryNo, "The sheet in force has no such service."},
	{BadDeadline, "bad_deadline", http.StatusBadRequest, RetryNo, "The deadline is not a number of milliseconds, or is out of range."},
	{MissingField, "missing_field", http.StatusBadRequest, RetryNo, "A required field is missing."},
	{UnknownPath, "unknown_path", http.StatusNotFound, RetryNo, "There is no call at this path."},
	{BadMethod, "bad_method", http.StatusMethodNotAllowed, RetryNo, "The call does not accept this method."},
	{HeaderTooLarge, "header_too_large", http.StatusRequestHeaderFieldsTooLarge, RetryNo, "The header exceeds its size limit."},
	{SlowBody, "slow_body", http.StatusRequestTimeout, RetryNo, "The body did not arrive within its time limit."},
	{WrongServiceKind, "wrong_service_kind", http.StatusBadRequest, RetryNo, "A prompt was sent to a web service, or a one-shot call to a model service."},
	{BadField, "bad_field", http.StatusBadRequest, RetryNo, "A field, header, query parameter or body has an invalid value."},
	{UnknownRoute, "unknown_route", http.StatusNotFound, RetryNo, "The sheet in force has no route for the host and path."},
	{QuotaExceeded, "quota_exceeded", http.StatusTooManyRequests, RetryLater, "The tenant has used up its allowance."},
	{ShareExceeded, "share_exceeded", http.StatusTooManyRequests, RetryLater, "The holder of the tenant's count can't be reached, and this node's share of the allowance is used up."},
	{QueueFull, "pending_full", http.StatusServiceUnavailable, RetryLater, "A queue is full, or a limit of concurrent requests or of buffered bodies is reached."},
	{NoServer, "no_server", http.StatusServiceUnavailable, RetryLater, "No server can take the request now."},
	{DeadlineTooShort, "deadline_too_short", http.StatusServiceUnavailable, RetryLater, "The deadline would pass before a server could answer."},
	{NoAuthority, "not_ruling", http.StatusServiceUnavailable, RetryLater, "This node can't be sure that its configuration is the newest; send the request to another node."},
	{FrontDraining, "front_leaving", http.StatusServiceUnavailable, RetryLater, "This node is draining; send the request to another node."},
	{NoPlan, "no_plan", http.StatusServiceUnavailable, RetryLater, "This node has not received both a plan and a sheet yet."},
	{RetryBudgetExhausted, "budget_spent", http.StatusServiceUnavailable, RetryLater, "The retry budget is exhausted."},
	{NoSheet, "no_sheet", http.StatusServiceUnavailable, RetryLater, "There is no sheet yet, or this node has not received it."},
	{NotExecuted, "not_run", http.StatusServiceUnavailable, RetryLater, "The call was not executed and will not be."},
	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, RetryCheck, "The call may have been executed; it was not sent again."},
	{DeadlineExceeded, "deadline_passed", http.StatusGatewayTimeout, RetryLater, "The deadline passed before the first event of a stream or before the complete answer."},
	{StreamAborted, "stream_cut", http.StatusBadGateway, RetryLater, "The stream ended before its final event."},
	{BadResponse, "bad_answer", http.StatusBadGateway, RetryLater, "The answer was incomplete, malformed or another request's."},
	{KeyRevoked, "key_revoked", http.StatusForbidden, RetryNo, "The key was revoked while the request was in progress."},
	{CallerDisconnected, "caller_gone", 499, RetryNo, "The caller closed the connection or stopped reading from it."},
	{StreamNotStarted, "stream_not_begun", http.StatusServiceUnavailable, RetryLater, "No server started the stream; no event was forwarded."},
	{DeadlineUnknown, "deadline_unknown", http.StatusGatewayTimeout, RetryCheck, "The deadline passed, and the call, which must not be repeated, may have been executed."},
	{BaseConflict, "base_moved", http.StatusConflict, RetryNo, "The order's base is not the sheet's current epoch or revision; read the sheet again and rebuild the order."},
	{OutcomePending, "outcome_pending", http.StatusAccepted, RetrySame, "The order is not known to be in force yet; send it again with the same id."},
	{InvalidSheet, "invalid_sheet", http.StatusUnprocessableEntity, RetryNo, "The sheet violates a rule; nothing was changed."},
	{SheetTooLarge, "sheet_too_large", http.StatusRequestEntityTooLarge, RetryNo, "The sheet or order exceeds a limit; nothing was changed."},
	{OperatorUnknown, "operator_unknown", http.StatusForbidden, RetryNo, "The key belongs to no operator."},
	{UnknownZone, "unknown_locality", http.StatusNotFound, RetryNo, "The locality is malformed, or no server or node is known in it."},
	{UnknownMember, "unknown_member", http.StatusNotFound, RetryNo, "The roster has no such member."},
	{InvalidChange, "invalid_change", http.StatusUnprocessableEntity, RetryNo, "A change names no cell of the sheet or gives it an invalid value, or the number of changes is invalid."},
	{OrderIDReused, "order_id_reused", http.StatusConflict, RetryNo, "The order id was already used for a different order."},
	{UnknownVersion, "unknown_epoch", http.StatusNotFound, RetryNo, "The epoch is not in the history that is kept."},
	{NoMajority, "no_majority", http.StatusServiceUnavailable, RetrySame, "No majority of the cores answered, or this core has not caught up with one."},
	{CoreRecovering, "core_amnesiac", http.StatusServiceUnavailable, RetrySame, "The core does not vote yet: it is rebuilding its state from the other cores."},
	{CoreBlank, "core_blank", http.StatusServiceUnavailable, RetrySame, "The cores have not formed a fleet yet."},
	{DiskFull, "disk_full", http.StatusInsufficientStorage, RetrySame, "The core's disk is full except for the reserved space."},
	{CoreUnreachable, "core_unreachable", http.StatusServiceUnavailable, RetrySame, "No core could be reached, or the core is not running."},
	{WrongFormation, "wrong_formation", http.StatusConflict, RetryNo, "The message or the data folder belongs to another formation or core."},
	{BadRecord, "bad_record", http.StatusInternalServerError, RetryNo, "A record, file header or snapshot on disk is corrupt."},
	{NotCore, "not_core", http.StatusMisdirectedRequest, RetryLater, "The process is not a core, or not one of the formation."},
	{BadSecret, "bad_secret", http.StatusForbidden, RetryNo, "The fleet secret does not match."},
	{VersionBehind, "epoch_behind", http.StatusConflict, RetryLater, "A member, core or roster change is behind the epoch or incarnation that the request needs."},
	{Internal, "internal", http.StatusInternalServerError, RetryCheck, "Internal error; see the log event."},
	{BadSetting, "bad_setting", http.StatusUnprocessableEntity, RetryNo, "A setting is unknown, invalid or missing, or its file can't be read."},
	{NotFound, "not_found", http.StatusNotFound, RetryNo, "Nothing is stored under this name."},
}

var infoByCode = func() map[Code]CodeInfo {
	byCode := make(map[Code]CodeInfo, len(Codes))
	for _, info := range Codes {
		byCode[info.Code] = info
	}
	return byCode
}()

// Info returns the table's entry for a code, or that of Internal if the code is
// unknown.
func (c Code) Info() CodeInfo {
	if info, ok := infoByCode[c]; ok {
		return info
	}
	return infoByCode[Internal]
}

func (c Code) String() string { return c.Info().Name }
