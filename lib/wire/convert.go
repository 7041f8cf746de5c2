package wire

import "cassiarack.example/lib/request"

// ToFields converts fields to those of a message.
func ToFields(fs []request.Field) []*Field {
	out := make([]*Field, len(fs))
	for i, f := range fs {
		out[i] = &Field{Name: f.Name, Value: f.Value}
	}
	return out
}

// FromFields converts the fields of a message to request.Field.
func FromFields(fs []*Field) []request.Field {
	out := make([]request.Field, len(fs))
	for i, f := range fs {
		out[i] = request.Field{Name: f.GetName(), Value: f.GetValue()}
	}
	return out
}

// ToHead converts a request head to that of a message.
func ToHead(h request.Head) *RequestHead {
	return &RequestHead{
		Method:        h.Method,
		Target:        h.Target,
		Host:          h.Host,
		Fields:        ToFields(h.Fields),
		ContentLength: h.ContentLength,
		TrailerNames:  h.TrailerNames,
	}
}

// FromHead converts the request head of a message to request.Head.
func FromHead(h *RequestHead) request.Head {
	return request.Head{
		Method:        h.GetMethod(),
		Target:        h.GetTarget(),
		Host:          h.GetHost(),
		Fields:        FromFields(h.GetFields()),
		ContentLength: h.GetContentLength(),
		TrailerNames:  h.GetTrailerNames(),
	}
}

// reasons maps the reasons of a gate to those of package request.
var reasons = map[Reason]request.Reason{
	Reason_REASON_FULL:             request.ReasonFull,
	Reason_REASON_SHARE:            request.ReasonShare,
	Reason_REASON_DEADLINE:         request.ReasonDeadline,
	Reason_REASON_LEAVING:          request.ReasonLeaving,
	Reason_REASON_EJECTED:          request.ReasonEjected,
	Reason_REASON_UNKNOWN_INSTANCE: request.ReasonUnknownInstance,
	Reason_REASON_GRANT_EXPIRED:    request.ReasonInvalidGrant,
	Reason_REASON_PAUSED:           request.ReasonPaused,
	Reason_REASON_CONNECT:          request.ReasonBackendConnect,
	Reason_REASON_BACKEND_LOST:     request.ReasonBackendLost,
	Reason_REASON_CANCELLED:        request.ReasonCancelled,
	Reason_REASON_BACKEND_SHED:     request.ReasonBackendShed,
	Reason_REASON_QUEUE_WAIT:       request.ReasonQueueWait,
	Reason_REASON_MALFORMED:        request.ReasonMalformed,
	Reason_REASON_BODY:             request.ReasonBodyTruncated,
	Reason_REASON_OVERLOAD:         request.ReasonOverload,
}

// ToReason converts a reason to that of a message, REASON_UNSPECIFIED if it has no
// equivalent.
func ToReason(r request.Reason) Reason {
	for w, have := range reasons {
		if have == r {
			return w
		}
	}
	return Reason_REASON_UNSPECIFIED
}

// FromReason converts the reason of a message, to the empty string if it has no
// equivalent.
func FromReason(r Reason) request.Reason { return reasons[r] }
