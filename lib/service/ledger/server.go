package ledger

import (
	"context"
	"errors"
	"time"

	"cassiarack.example/lib/decision/ledger"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/wire"
)

const (
	// maxImportClaims bounds the number of claims in one import message between
	// nodes.
	maxImportClaims = 1000
	// importTimeout bounds the call that sends one import message.
	importTimeout = 2 * time.Second
)

// server implements the drpc calls with which other nodes use this ledger.
type server struct{ s *Service }

var (
	errInvalidClaim = errors.New("claim without a valid key and attempt")
	errNoSender     = errors.New("import without the name of a VM")
)

// fromClaim converts a claim. It returns errInvalidClaim if the service or the
// value is missing, the value is longer than MaxKeyLength, or the attempt has the
// wrong length.
func fromClaim(k *wire.Key, attempt []byte) (claim, error) {
	c := claim{key: fromKey(k)}
	if len(attempt) != len(c.claimant) || k.GetService() == "" || k.GetValue() == "" || len(k.GetValue()) > MaxKeyLength {
		return c, errInvalidClaim
	}
	copy(c.claimant[:], attempt)
	return c, nil
}

// Claim implements the drpc call.
func (v server) Claim(ctx context.Context, in *wire.ClaimRequest) (*wire.ClaimReply, error) {
	c, err := fromClaim(in.GetKey(), in.GetAttempt())
	if err != nil {
		return nil, err
	}
	r, err := v.s.claimLocal(ctx, c)
	if err != nil {
		return nil, err
	}
	return &wire.ClaimReply{Answer: answers[r.Answer], RetryAfter: int64(r.RetryAfter)}, nil
}

// Release implements the drpc call.
func (v server) Release(ctx context.Context, in *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	c, err := fromClaim(in.GetKey(), in.GetAttempt())
	if err != nil {
		return nil, err
	}
	ok, err := v.s.releaseLocal(ctx, c)
	if err != nil {
		return nil, err
	}
	return &wire.ReleaseReply{Released: ok}, nil
}

// Import implements the drpc call.
func (v server) Import(ctx context.Context, in *wire.ImportRequest) (*wire.ImportReply, error) {
	q := importBatch{from: in.GetFrom(), last: in.GetLast()}
	if q.from == "" {
		return nil, errNoSender
	}
	for _, w := range in.GetClaims() {
		c, err := fromClaim(w.GetKey(), w.GetAttempt())
		if err != nil {
			return nil, err
		}
		q.claims = append(q.claims, ledger.Claim{Key: c.key, Claimant: c.claimant, Age: time.Duration(w.GetAge())})
	}
	n, err := ask(ctx, v.s, q, func(c *ring.Call[importBatch, int]) command { return command{imports: c} })
	if err != nil {
		return nil, err
	}
	return &wire.ImportReply{Taken: uint32(n)}, nil
}

// Drain implements kernel.Drainer. It stops granting claims on this VM and hands
// the claims over to the next owners of their keys.
func (s *Service) Drain(ctx context.Context) error {
	e, err := ask(ctx, s, struct{}{}, func(c *ring.Call[struct{}, exportResult]) command { return command{export: c} })
	if err != nil {
		return err
	}
	for vm, claims := range e.claims {
		if len(claims) == 0 && !e.complete {
			continue
		}
		if err := s.handOver(ctx, vm, claims, e.complete); err != nil {
			// The next owner may be stopping as well and then cannot accept claims.
			// The keys stay unknown for one retention in that case.
			s.Log.Warn("Claims not handed over.", "to", vm, "claims", len(claims), "err", err)
		}
	}
	return nil
}

var errIncompleteImport = errors.New("not all claims were taken")

// handOver sends claims to a VM in messages of at most maxImportClaims claims. It
// sends at least one message, and marks the last one if the export is complete.
// It returns an error if the VM did not accept all claims of a message.
func (s *Service) handOver(ctx context.Context, vm string, claims []ledger.Claim, complete bool) error {
	c := s.config.Current()
	if c == nil || c.VMs[vm] == nil {
		return errNoOwner
	}
	client := wire.NewDRPCLedgerClient(s.peers.Conn(ctx, c.VMs[vm].Node))
	for first := true; first || len(claims) > 0; first = false {
		n := min(maxImportClaims, len(claims))
		in := &wire.ImportRequest{From: s.VM, Last: complete && n == len(claims)}
		for _, c := range claims[:n] {
			in.Claims = append(in.Claims, &wire.Claim{Key: toKey(c.Key), Attempt: c.Claimant[:], Age: int64(c.Age)})
		}
		claims = claims[n:]
		ctx, cancel := context.WithTimeout(ctx, importTimeout)
		reply, err := client.Import(ctx, in)
		cancel()
		if err != nil {
			return err
		}
		if int(reply.GetTaken()) != n {
			return errIncompleteImport
		}
	}
	return nil
}

func toKey(k ledger.Key) *wire.Key {
	return &wire.Key{Organisation: k.Organisation, Service: k.Service, Value: k.Value}
}

func fromKey(k *wire.Key) ledger.Key {
	return ledger.Key{Organisation: k.GetOrganisation(), Service: k.GetService(), Value: k.GetValue()}
}

// answers maps the answers of the ledger to those on the wire.
var answers = map[ledger.Answer]wire.ClaimAnswer{
	ledger.Granted:  wire.ClaimAnswer_CLAIM_ANSWER_GRANTED,
	ledger.Held:     wire.ClaimAnswer_CLAIM_ANSWER_HELD,
	ledger.Unknown:  wire.ClaimAnswer_CLAIM_ANSWER_UNKNOWN,
	ledger.NotOwner: wire.ClaimAnswer_CLAIM_ANSWER_NOT_HOME,
	ledger.Full:     wire.ClaimAnswer_CLAIM_ANSWER_FULL,
}

// fromAnswer converts the answer to a claim. An answer that this version does not
// know is returned as ledger.Unknown.
func fromAnswer(w wire.ClaimAnswer) ledger.Answer {
	for a, have := range answers {
		if have == w {
			return a
		}
	}
	return ledger.Unknown
}
