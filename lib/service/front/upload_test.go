package front

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/request"
)

// TestStopAfterLastBytes guards against a read deadline that is set when the
// handler answers after net/http has read the last bytes of the body but before
// the upload has seen the end. Such a deadline canceled all later requests of the
// connection, so that one entry node refused them while others served.
func TestStopAfterLastBytes(t *testing.T) {
	is := is.New(t)
	canceled := make(chan bool, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			// A canceled read of net/http cancels the request within microseconds.
			time.Sleep(10 * time.Millisecond)
			canceled <- r.Context().Err() != nil
			return
		}
		u := newUpload(w, r)
		defer u.stop()
		pieces := u.start()
		u.fullDuplex(false)
		for pieces.Stats().Depth < request.PiecesInFlight {
			time.Sleep(time.Millisecond)
		}
		// The upload now waits to put the last piece into the full ring, and net/http
		// has read the end of the body.
		time.Sleep(10 * time.Millisecond)
	}))
	defer server.Close()
	client := server.Client()
	client.Timeout = 10 * time.Second
	body := make([]byte, request.PieceSize*(request.PiecesInFlight+1))
	resp, err := client.Post(server.URL, "application/octet-stream", bytes.NewReader(body))
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	resp.Body.Close()
	resp, err = client.Get(server.URL)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK) // the connection carries further requests
	is.True(!<-canceled)
}
