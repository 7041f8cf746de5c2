package config

import (
	"encoding/hex"
	"net/netip"
	"time"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/revision"
	"cassiarack.example/lib/ring"
)

const (
	// askInterval is the interval at which a node that does not serve asks other
	// nodes for their revision.
	askInterval = 250 * time.Millisecond
	// neighboursPerRound and seedsPerRound are the numbers of nodes that such a node
	// asks in each round: neighbours, usually the VMs of its data centre, and nodes
	// of its settings. At the target, a data centre has 275 VMs, of which half answer
	// within 10 rounds.
	neighboursPerRound = 16
	seedsPerRound      = 4
	// announceFanout is the number of nodes to which a node announces a new
	// revision. Each of them announces it to as many, so that it reaches 3,300
	// nodes in about six rounds.
	announceFanout = 4
	// secondAnnouncement is the delay after which a node announces an adopted
	// revision for the second time, and announcementJitter is the longest random
	// addition to it. One announcement to 4 nodes is expected to miss 2 in 100
	// nodes, and two announcements 3 in 10,000.
	secondAnnouncement = 200 * time.Millisecond
	announcementJitter = 200 * time.Millisecond
	// repairInterval is the interval at which a node exchanges revisions with a
	// random VM, which makes up for lost announcements.
	repairInterval = time.Second
	// maxSources limits the number of remembered sources of a wanted revision.
	maxSources = 8
	// maxRejections limits the number of rejections shown to operators.
	maxRejections = 16
)

// command is a command that the duty applies to its state.
type command interface {
	apply(now time.Time, s *Service)
}

// duty is the state that only the goroutine of the duty uses.
type duty struct {
	tracker    revision.Tracker
	content    *Content
	conf       *config.Configuration
	superseded *superseded
	list       *List
	// inForce is the highest number of a revision that was put in force.
	inForce uint64
	// lastRun, lastAsked and lastRepair are the times at which the duty last ran,
	// asked peers and exchanged revisions with a random VM.
	lastRun, lastAsked, lastRepair time.Time
	// announceAgainAt is the time of the second announcement, or zero if none is
	// due.
	announceAgainAt time.Time

	// wanted is the revision to fetch, and sources are nodes that have it. pulling
	// is set while a transfer is in progress.
	wanted  config.Revision
	sources []source
	pulling bool
	// compiling is the job that the compiler processes, or nil. next is the job
	// after it, or nil.
	compiling *job
	next      *job

	rejections []Rejection
}

// source is a node from which a revision can be fetched.
type source struct {
	vm      string
	node    netip.AddrPort
	serving bool
}

func (s *Service) handle(now time.Time, c command) {
	s.detectPause(now)
	c.apply(now, s)
	s.publish(now)
}

func (s *Service) tick(now time.Time) {
	s.detectPause(now)
	d := &s.duty
	serving := d.tracker.MayServe(now)
	if !serving && now.Sub(d.lastAsked) >= askInterval {
		d.lastAsked = now
		s.askPeers()
	}
	if !d.announceAgainAt.IsZero() && now.After(d.announceAgainAt) {
		d.announceAgainAt = time.Time{}
		s.exchangeWithRandom(announceFanout)
	}
	if now.Sub(d.lastRepair) >= repairInterval {
		d.lastRepair = now
		s.exchangeWithRandom(1)
	}
	s.pull()
	s.publish(now)
}

// detectPause reports to the tracker and logs a pause of the process that is longer
// than revision.PauseLimit.
func (s *Service) detectPause(now time.Time) {
	d := &s.duty
	if length := elapsed(d.lastRun, now); length > revision.PauseLimit {
		s.Log.Warn("Process was paused.", "for", length)
		s.scope.Counter("pauses").Inc(1)
		d.tracker.Paused(now, length)
	}
	d.lastRun = now
}

// publish publishes a snapshot of the state to other goroutines, and announces a
// revision that came into force.
func (s *Service) publish(now time.Time) {
	d := &s.duty
	serving := d.tracker.MayServe(now)
	_, inForce := d.tracker.InForce()
	sn := &snapshot{content: d.content, conf: d.conf, inForce: inForce, serving: serving,
		waiting: d.tracker.WaitingReason(now), superseded: d.superseded, list: d.list, rejections: d.rejections}
	old := s.snapshot.Swap(sn)
	s.heartbeat.Store(&now)
	if serving != old.serving {
		s.Log.Info("Serving changed.", "serving", serving, "waiting", sn.waiting)
	}
	if inForce && d.conf.Revision.Number > d.inForce {
		d.inForce = d.conf.Revision.Number
		s.Log.Info("Configuration in force.", "revision", d.inForce)
		s.scope.Gauge("revision").Update(float64(d.inForce))
		s.announce(d.conf.Revision)
		d.announceAgainAt = now.Add(secondAnnouncement + time.Duration(s.Random.Int64N(int64(announcementJitter))))
	}
}

// announce announces a revision to random VMs and puts it into the ring of adopted
// revisions. If the ring is full, the oldest revisions are dropped.
func (s *Service) announce(rev config.Revision) {
	for s.adopted.Offer(rev) != nil {
		if _, err := s.adopted.Take(doneContext); err != nil {
			break
		}
	}
	s.exchangeWithRandom(announceFanout)
}

// peerRevision is the command that handles a revision reported by another node.
type peerRevision struct {
	vm      string
	node    netip.AddrPort
	rev     config.Revision
	serving bool
}

func (h peerRevision) apply(now time.Time, s *Service) {
	if h.rev.Number == 0 {
		return
	}
	d := &s.duty
	d.tracker.ObserveRevision(h.rev, h.serving)
	from := origin{source: revision.Source{Name: h.vm, Serving: h.serving}, node: s.nodeAddress(h.vm, h.node)}
	v := d.tracker.Evaluate(h.rev, from.source)
	switch v.Outcome {
	case revision.Accepted:
		s.addSource(h.rev, source{vm: h.vm, node: from.node, serving: h.serving})
	case revision.Forked:
		s.recordRejection(now, h.rev, h.vm, v)
	}
}

// nodeAddress returns the address of a node. If the node did not report a valid one,
// it is the address in the register.
func (s *Service) nodeAddress(vm string, node netip.AddrPort) netip.AddrPort {
	if node.IsValid() || s.duty.conf == nil {
		return node
	}
	if v, ok := s.duty.conf.VMs[vm]; ok {
		return v.Node
	}
	return node
}

// addSource records a node from which a revision can be fetched, and starts a
// transfer if none is in progress. A revision older than the wanted one is ignored
// while there are sources or a transfer of the wanted one.
func (s *Service) addSource(rev config.Revision, from source) {
	d := &s.duty
	busy := d.pulling || len(d.sources) > 0
	if !from.node.IsValid() || busy && rev.Number < d.wanted.Number {
		return
	}
	if rev != d.wanted {
		d.wanted, d.sources = rev, nil
	}
	for _, o := range d.sources {
		if o.vm == from.vm {
			return
		}
	}
	if len(d.sources) < maxSources {
		d.sources = append(d.sources, from)
	}
	s.pull()
}

// pull starts a transfer from the next source if no transfer is in progress. The
// sources are dropped if the revision is being compiled or would not be accepted.
func (s *Service) pull() {
	d := &s.duty
	if d.pulling || len(d.sources) == 0 {
		return
	}
	from := d.sources[0]
	d.sources = d.sources[1:]
	busy := d.compiling != nil && d.compiling.content.Revision == d.wanted
	verdict := d.tracker.Evaluate(d.wanted, revision.Source{Name: from.vm, Serving: from.serving})
	if busy || verdict.Outcome != revision.Accepted {
		d.sources = nil
		return
	}
	d.pulling = s.pulls.Offer(pull{rev: d.wanted, from: from, have: d.content}) == nil
}

// pulled is the command that handles the result of a transfer.
type pulled struct {
	content *Content
	from    source
	err     error
}

func (p pulled) apply(now time.Time, s *Service) {
	s.duty.pulling = false
	if p.err != nil {
		s.Log.Info("Fetching a revision failed.", "vm", p.from.vm, "err", p.err)
		s.scope.Counter("fetch_failed").Inc(1)
		s.pull()
		return
	}
	s.scope.Counter("fetched").Inc(1)
	from := origin{source: revision.Source{Name: p.from.vm, Serving: p.from.serving}, node: p.from.node}
	offer{content: p.content, from: from}.apply(now, s)
}

// evaluate is the command that evaluates a revision of the platform before its
// documents are read.
type evaluate struct {
	call ring.Call[config.Revision, revision.Verdict]
}

func (j evaluate) apply(now time.Time, s *Service) {
	v := s.duty.tracker.Evaluate(j.call.Query, fromPlatform.source)
	s.recordRejection(now, j.call.Query, platformName, v)
	j.call.Reply(v)
}

// offer is the command that proposes the content of a revision.
type offer struct {
	content *Content
	from    origin
	call    *ring.Call[*Content, revision.Verdict]
}

func (o offer) apply(now time.Time, s *Service) {
	d := &s.duty
	v := d.tracker.Evaluate(o.content.Revision, o.from.source)
	if v.Outcome != revision.Accepted {
		s.finishJob(now, &job{content: o.content, from: o.from, call: o.call}, v)
		return
	}
	j := &job{content: o.content, from: o.from, call: o.call}
	switch {
	case d.compiling == nil:
		d.compiling = j
		// The ring has space, because there is at most one job at a time.
		_ = s.jobs.Offer(*j)
	case d.next == nil || d.next.content.Revision.Number < j.content.Revision.Number:
		if d.next != nil {
			s.finishJob(now, d.next, revision.Verdict{Outcome: revision.Older, Reason: "a newer revision came"})
		}
		d.next = j
	default:
		s.finishJob(now, j, revision.Verdict{Outcome: revision.Older, Reason: "a newer revision came"})
	}
}

// finishJob records the verdict on a job and returns it to the caller, if any.
func (s *Service) finishJob(now time.Time, j *job, v revision.Verdict) {
	s.recordRejection(now, j.content.Revision, j.from.source.Name, v)
	if j.call != nil {
		j.call.Reply(v)
	}
}

// compiled is the command that handles the result of a job.
type compiled struct {
	job  job
	conf *config.Configuration
	err  error
	took time.Duration
}

func (c compiled) apply(now time.Time, s *Service) {
	d := &s.duty
	d.compiling = nil
	s.scope.Timer("compile").Record(c.took)
	v := d.tracker.Offer(now, c.job.content.Revision, c.job.from.source,
		revision.Neighbours(c.conf, s.VM), c.err)
	if v.Outcome == revision.Accepted {
		d.superseded = d.superseded.add(d.content, c.job.content)
		d.content, d.conf = c.job.content, c.conf
		s.Log.Info("Configuration accepted.", "revision", d.conf.Revision.Number, "from", c.job.from.source.Name,
			"compiled", c.took)
	}
	s.finishJob(now, &c.job, v)
	if d.next != nil {
		next := d.next
		d.next = nil
		offer{content: next.content, from: next.from, call: next.call}.apply(now, s)
	}
	if v.Outcome == revision.Accepted && !d.tracker.MayServe(now) {
		s.askPeers()
	}
}

// recordRejection logs and counts a rejected revision and adds it to the rejections
// shown to operators. A revision from a peer is not recorded for being older,
// because nodes that are behind are usual.
func (s *Service) recordRejection(now time.Time, rev config.Revision, from string, v revision.Verdict) {
	if !v.Rejected() || v.Outcome == revision.Older && from != platformName {
		return
	}
	s.scope.Tagged(map[string]string{"verdict": string(v.Outcome)}).Counter("rejected").Inc(1)
	digest := hex.EncodeToString(rev.Digest[:8])
	out := make([]Rejection, 0, maxRejections)
	for _, r := range s.duty.rejections {
		if r.Revision == rev.Number && r.Digest == digest && r.Source == from && r.Verdict == v.Outcome {
			r.Count++
			r.Last = now
			digest = ""
		}
		out = append(out, r)
	}
	if digest != "" {
		s.Log.Error("Revision rejected.", "revision", rev.Number, "digest", digest, "source", from,
			"verdict", v.Outcome, "reason", v.Reason)
		out = append(out, Rejection{First: now, Last: now, Count: 1, Revision: rev.Number, Digest: digest,
			Source: from, Verdict: v.Outcome, Reason: v.Reason})
	}
	s.duty.rejections = out[max(0, len(out)-maxRejections):]
}

// listUpdate is the command that handles a list of VMs. A list that is not newer
// than the known one is ignored.
type listUpdate struct {
	list *List
}

func (l listUpdate) apply(_ time.Time, s *Service) {
	d := &s.duty
	if d.list != nil && l.list.Number <= d.list.Number {
		return
	}
	d.list = l.list.withChangesSince(d.list)
	s.Log.Info("List of VMs updated.", "number", d.list.Number, "VMs", len(d.list.states))
	s.exchangeWithRandom(announceFanout)
}
