package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// garbleTime is how long one instance spoils answers, and garbleShare of how many
	// answers it spoils at most one.
	garbleTime  = 5 * time.Second
	garbleShare = 34
	// refusalShare is of how many requests the instance refuses one.
	refusalShare = 20
	answerBytes  = 400
)

// garbler is the state of the instance that spoils answers.
type garbler struct {
	mu sync.Mutex
	// earlier holds the last refusal or answer on each connection.
	earlier                    map[net.Conn][]byte
	requests, answers, spoiled int
	began                      time.Time
	// refuses is set if the instance refuses some requests.
	refuses bool
}

// cutHead returns an answer up to the middle of the value of its signature.
func cutHead(answer []byte) []byte {
	name := []byte("X-Cassiarack-Response-Signature: ")
	return answer[:bytes.Index(answer, name)+len(name)+6]
}

// refusal returns the refusal of one in refusalShare requests.
func (g *garbler) refusal(c net.Conn, id string) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.requests++; !g.refuses || g.requests%refusalShare != 0 {
		return nil
	}
	g.earlier[c] = fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nX-Cassiarack-Attempt-Id: %s\r\nX-Cassiarack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	return g.earlier[c]
}

// spoil returns the bytes that are sent in place of an answer: its head up to the middle of
// the signature, and then what was sent before on the connection. It returns nil if the
// answer is sent as it is.
func (g *garbler) spoil(c net.Conn, answer []byte, trouble bool) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answers++
	before := g.earlier[c]
	if !g.refuses {
		g.earlier[c] = answer
	}
	if !trouble || before == nil || g.began.IsZero() || time.Since(g.began) > garbleTime || (g.spoiled+1)*garbleShare > g.answers {
		return nil
	}
	g.spoiled++
	delete(g.earlier, c)
	return append(cutHead(answer), before...)
}

// glued lets one of four instances break off the head of an answer and send what it sent
// before on the same connection once more: a refusal, or an answer.
func glued(refusal bool) func(f *fleet, trouble bool) (bool, error) {
	return func(f *fleet, trouble bool) (bool, error) {
		g := &garbler{earlier: make(map[net.Conn][]byte), refuses: refusal}
		services := []string{"orders", "orders", "orders", "orders", "other"}
		method, path := "POST", "/post/1"
		if !refusal {
			method, path = "GET", "/get/1"
		}
		make := func(v *vm) *instance {
			i := &instance{}
			faulty := v.index == 1
			i.respond = func(i *instance, c net.Conn, r *http.Request, _ []byte) bool {
				time.Sleep(40 * time.Millisecond)
				whole := i.answer(r, answerBytes)
				if faulty {
					if bytes := g.spoil(c, whole, trouble); bytes != nil {
						f.record.line("instance 1 sends for %s: %.300q", r.Header.Get("X-Cassiarack-Attempt-Id"), bytes)
						whole = bytes
					}
				}
				_, err := c.Write(whole)
				return err == nil
			}
			if faulty {
				i.refuse = func(_ *instance, c net.Conn, r *http.Request) []byte {
					return g.refusal(c, r.Header.Get("X-Cassiarack-Attempt-Id"))
				}
			}
			return i
		}
		err := f.start(services, configuration(3, []route{{"r-get", "/get/", "safe", "orders", 4}, {"r-post", "/post/", "unsafe", "orders", 4}}, []string{"orders", "other"}), make)
		if err != nil {
			return false, err
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		bad := 0
		end := time.Now().Add(9 * time.Second)
		for k := range 12 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for time.Now().Before(end) {
					n := f.requests(k, f.vms[k%len(f.vms)], method, path, end, refusal)
					mu.Lock()
					bad += n
					mu.Unlock()
				}
			}()
		}
		time.Sleep(2 * time.Second)
		g.mu.Lock()
		g.began = time.Now()
		g.mu.Unlock()
		wg.Wait()
		f.record.line("instance 1 spoiled %d of %d answers to %d requests; %d violations", g.spoiled, g.answers, g.requests, bad)
		if trouble && g.spoiled == 0 {
			return false, errors.New("no answer was spoiled")
		}
		return bad == 0, nil
	}
}

// requests sends requests on one kept connection until end, and returns the number of
// violations that the client or the instances saw.
func (f *fleet) requests(client int, v *vm, method, path string, end time.Time, once bool) int {
	c, err := net.Dial("tcp", v.callers())
	if err != nil {
		f.record.line("client %d got no connection: %v", client, err)
		time.Sleep(50 * time.Millisecond)
		return 0
	}
	defer c.Close()
	br := bufio.NewReader(c)
	bad := 0
	for time.Now().Before(end) {
		id := newID()
		f.record.line("client %d sends %s %s %s to sidecar %d", client, method, path, id, v.index)
		c.SetDeadline(time.Now().Add(5 * time.Second))
		c.Write(request(method, path, id, 4*time.Second, nil, ""))
		resp, err := http.ReadResponse(br, nil)
		var got []byte
		if err == nil {
			got, err = io.ReadAll(resp.Body)
		}
		if err != nil {
			f.record.line("client %d got no answer to %s: %v", client, id, err)
			return bad
		}
		ran := f.runsOf(id)
		f.record.line("client %d got %d for %s, body %.20q, ran %d", client, resp.StatusCode, id, got, ran)
		if once && ran > 1 {
			f.record.line("TWICE: %s is not idempotent and ran %d times", id, ran)
			bad++
		}
		if ran > 0 && (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests) && once {
			f.record.line("REFUSED: %s was answered %d and ran %d times", id, resp.StatusCode, ran)
			bad++
		}
		if resp.StatusCode == http.StatusOK && !bytes.Equal(got, answerBody(id, answerBytes)) {
			f.record.line("MIXED: the success for %s has the body of another request: %.40q", id, got)
			bad++
		}
		time.Sleep(10 * time.Millisecond)
	}
	return bad
}
