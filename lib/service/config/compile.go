package config

import (
	"context"
	"time"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/revision"
	"cassiarack.example/lib/ring"
)

// job is a request to decode and compile the content of a revision. If call is not
// nil, it receives the verdict.
type job struct {
	content *Content
	from    origin
	call    *ring.Call[*Content, revision.Verdict]
}

// compile decodes and compiles the content of jobs until ctx is done. It runs on
// its own goroutine, because a configuration of 10 MB takes longer to compile than
// other nodes wait for an answer of the duty.
func (s *Service) compile(ctx context.Context) {
	var compiler config.Compiler
	for {
		j, err := s.jobs.Take(ctx)
		if err != nil {
			return
		}
		start := time.Now()
		conf, err := compiler.Decode(j.content.Revision, j.content.Documents)
		if s.commands.Put(ctx, compiled{job: j, conf: conf, err: err, took: time.Since(start)}) != nil {
			return
		}
	}
}
