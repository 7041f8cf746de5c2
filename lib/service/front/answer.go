package front

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"cassiarack.example/lib/request"
)

// writeAnswer streams an answer to the caller. If the answer ends early, it aborts
// the connection, so that a truncated answer never appears complete.
func writeAnswer(ctx context.Context, w http.ResponseWriter, a *request.Answer) {
	h := w.Header()
	for _, f := range a.Fields {
		h.Add(f.Name, f.Value)
	}
	for _, n := range a.TrailerNames {
		h.Add("Trailer", n)
	}
	h.Set(HeaderInstance, a.Instance)
	h.Set(HeaderOutcome, string(request.Complete))
	if a.ContentLength >= 0 && h.Get("Content-Length") == "" {
		h.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	w.WriteHeader(a.Status)
	control := http.NewResponseController(w)
	for {
		p, err := a.Pieces.Take(ctx)
		if err != nil || p.Err != nil {
			panic(http.ErrAbortHandler)
		}
		if p.End {
			for _, f := range p.Trailers {
				h.Add(f.Name, f.Value)
			}
			return
		}
		if _, err := w.Write(p.Data); err != nil {
			panic(http.ErrAbortHandler)
		}
		if err := control.Flush(); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// problem is the body of a failure, in the format of RFC 9457.
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

var titles = map[request.Outcome]string{
	request.NotRun:  "The request was not run.",
	request.Unknown: "It is unknown whether the request was run.",
}

// writeFailure writes a failure as a problem document. It sets Retry-After where a
// later attempt may succeed.
func writeFailure(w http.ResponseWriter, f *request.Failure) {
	status := statusOf(f)
	body, err := json.Marshal(problem{
		Type:    "urn:cassiarack:problem:" + string(f.Outcome) + ":" + string(f.Reason),
		Title:   titles[f.Outcome],
		Status:  status,
		Detail:  f.Detail,
		Outcome: string(f.Outcome),
		Reason:  string(f.Reason),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, string(f.Outcome))
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusConflict && f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retrySeconds(f.RetryAfter)))
	}
	w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write(body)
}

// retrySeconds converts d to the whole seconds of Retry-After, rounding up to at
// least 1.
func retrySeconds(d time.Duration) int {
	return max(1, int(math.Ceil(d.Seconds())))
}

// notRunStatus holds the status codes of requests that were not run. The status of
// all other reasons is 503 (Service Unavailable).
var notRunStatus = map[request.Reason]int{
	request.ReasonNoRoute:       http.StatusNotFound,
	request.ReasonMalformed:     http.StatusBadRequest,
	request.ReasonBodyTruncated: http.StatusBadRequest,
	request.ReasonShare:         http.StatusTooManyRequests,
	request.ReasonDeadline:      http.StatusGatewayTimeout,
}

// statusOf returns the HTTP status code of a failure.
func statusOf(f *request.Failure) int {
	if f.Outcome == request.NotRun {
		if s, ok := notRunStatus[f.Reason]; ok {
			return s
		}
		return http.StatusServiceUnavailable
	}
	switch f.Reason {
	case request.ReasonDeadline:
		return http.StatusGatewayTimeout
	case request.ReasonKeyInUse, request.ReasonKeyUnknown:
		return http.StatusConflict
	}
	return http.StatusBadGateway
}
