package publication

import (
	"bytes"

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
}

// version returns the version of the configuration, or zero if there is none.
func (c *configState) version() uint64 {
	if c.table == nil {
		return 0
	}
	return c.table.Configuration.Version
}

// applyConfig decodes a configuration document and publishes it if it is valid
// and newer than the current one. The source is used for log lines. It returns the
// version that the document confirms, or zero. An invalid document leaves the
// configuration in force as it is, and confirms its version.
func (s *Service) applyConfig(text []byte, source string) uint64 {
	if len(text) == 0 {
		return 0
	}
	if bytes.Equal(text, s.config.document) || bytes.Equal(text, s.config.rejected) {
		return s.config.version()
	}
	c, err := platform.DecodeConfig(text)
	if err != nil {
		s.config.rejected = text
		s.Scope.Counter("configurations_rejected").Inc(1)
		s.Log.Error("A configuration was rejected.", "source", source, "inForce", s.config.version(), "err", err)
		return s.config.version()
	}
	if c.Version <= s.config.version() {
		return c.Version
	}
	s.config.table, s.config.document = routing.Compile(c), text
	s.Log.Info("A configuration is in force.", "version", c.Version, "routes", len(c.Routes), "source", source)
	s.Scope.Gauge("configuration_version").Update(float64(c.Version))
	s.publish()
	return c.Version
}
