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
// and newer than the current one. The source is used for log lines.
func (s *Service) applyConfig(text []byte, source string) {
	if len(text) == 0 || bytes.Equal(text, s.config.document) || bytes.Equal(text, s.config.rejected) {
		return
	}
	c, err := platform.DecodeConfig(text)
	if err != nil {
		s.config.rejected = text
		s.Scope.Counter("configurations_rejected").Inc(1)
		s.Log.Error("A configuration was rejected.", "source", source, "inForce", s.config.version(), "err", err)
		return
	}
	if c.Version <= s.config.version() {
		return
	}
	s.config.table, s.config.document = routing.Compile(c), text
	s.Log.Info("A configuration is in force.", "version", c.Version, "routes", len(c.Routes), "source", source)
	s.Scope.Gauge("configuration_version").Update(float64(c.Version))
	s.publish()
}
