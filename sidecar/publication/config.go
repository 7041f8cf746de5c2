package publication

import (
	"bytes"

	"cassiarack.example/lib/decision/organisation"
	"cassiarack.example/lib/decision/routing"
	"cassiarack.example/platform"
)

// configState is the newest valid configuration that the sidecar has seen.
type configState struct {
	table    *routing.Table
	document []byte
	// rejected is the last invalid document, which is not decoded and logged
	// again.
	rejected []byte
	// rejectedVersion is the version of that document, or zero if it has none.
	rejectedVersion uint64
}

// version returns the version of the configuration, or zero if there is none.
func (c *configState) version() uint64 {
	if c.table == nil {
		return 0
	}
	return c.table.Configuration.Version
}

// register returns the organisations of the configuration, or nil if there are none.
func (c *configState) register() *organisation.Register {
	if c.table == nil {
		return nil
	}
	return c.table.Register
}

// applyConfig decodes a configuration document and publishes it if it is valid
// and newer than the current one. The source is used for log lines. It returns the
// version that the document confirms, or zero. An invalid document leaves the
// configuration in force as it is, and confirms its version unless its own is newer and
// may revoke keys.
func (s *Service) applyConfig(text []byte, source string) uint64 {
	if len(text) == 0 {
		return 0
	}
	if bytes.Equal(text, s.config.document) {
		return s.config.version()
	}
	if bytes.Equal(text, s.config.rejected) {
		return s.confirmedByRejected()
	}
	c, err := platform.DecodeConfig(text)
	if err == nil && c.Version <= s.config.version() {
		return c.Version
	}
	var register *organisation.Register
	if err == nil {
		register, err = organisation.NewRegister(s.config.register(), c.Organisations)
	}
	if err != nil {
		s.config.rejected = text
		// The reason for a missing version is part of err.
		s.config.rejectedVersion, _ = platform.DecodeVersion(text)
		s.Scope.Counter("configurations_rejected").Inc(1)
		s.Log.Error("A configuration was rejected.", "source", source, "inForce", s.config.version(), "err", err)
		return s.confirmedByRejected()
	}
	// The register holds the organisations, which may be many.
	c.Organisations = nil
	table := routing.Compile(c)
	table.Register = register
	s.config.table, s.config.document = table, text
	s.Log.Info("A configuration is in force.", "version", c.Version, "routes", len(c.Routes),
		"organisations", register.Len(), "source", source)
	s.Scope.Gauge("configuration_version").Update(float64(c.Version))
	s.Scope.Gauge("organisations").Update(float64(register.Len()))
	s.publish()
	return c.Version
}

// confirmedByRejected returns the version that the rejected document confirms, or zero.
// The keys that a newer version revokes are unknown.
func (s *Service) confirmedByRejected() uint64 {
	if s.KeyRevocation > 0 && s.config.rejectedVersion > s.config.version() {
		return 0
	}
	return s.config.version()
}
