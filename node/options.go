package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"github.com/peterbourgon/ff/v4"
	"github.com/tailscale/hujson"

	"cassiarack.example/lib/input/settings"
)

// options holds the values of the node's flags, which may also be set by
// environment variables.
type options struct {
	flags         *ff.FlagSet
	settingsFile  string
	logLevel      string
	version       bool
	settingsFlags []*settingsFlag
}

// settingsFlag is a flag that overrides a key of the settings file. An empty text
// means that the flag is not given.
type settingsFlag struct {
	key, flag, text string
	encode          func(string) (json.RawMessage, error)
}

func newOptions() *options {
	o := &options{flags: ff.NewFlagSet("cassiarack-node")}
	o.flags.StringVar(&o.settingsFile, 's', "settings", "", "settings file, JSON with comments")
	o.flags.StringVar(&o.logLevel, 'l', "log-level", "info", "debug, info, warn or error")
	o.flags.BoolVar(&o.version, 0, "version", "print the version and exit")
	o.addSettingsFlag("name", "name", "name of the VM in the register", encodeString)
	o.addSettingsFlag("region", "region", "region of the VM", encodeString)
	o.addSettingsFlag("dataCentre", "data-centre", "data centre of the VM", encodeString)
	o.addSettingsFlag("callers", "callers", "address for callers", encodeString)
	o.addSettingsFlag("fleet", "fleet", "address for other nodes", encodeString)
	o.addSettingsFlag("admin", "admin", "admin address, for operators", encodeString)
	o.addSettingsFlag("platform", "platform", "address of the platform", encodeString)
	o.addSettingsFlag("peers", "peers", "JSON array of addresses of other nodes", encodeJSON)
	o.addSettingsFlag("fleetKeys", "fleet-keys", "JSON array of keys for datagrams", encodeJSON)
	o.addSettingsFlag("certificate", "certificate", "PEM file with the node's certificate", encodeString)
	o.addSettingsFlag("key", "key", "PEM file with the node's key", encodeString)
	o.addSettingsFlag("authority", "authority", "PEM file with the certificate authority of the fleet", encodeString)
	o.addSettingsFlag("drainTimeout", "drain-timeout", "longest duration of a graceful stop", encodeString)
	o.addSettingsFlag("requestTimeout", "request-timeout", "time limit of requests that set none", encodeString)
	o.addSettingsFlag("keyRetention", "key-retention", "how long idempotency keys are kept", encodeString)
	o.addSettingsFlag("traceEndpoint", "trace-endpoint", "URL that receives spans as OTLP over HTTP", encodeString)
	o.addSettingsFlag("profiling", "profiling", "true serves pprof on the admin address", encodeBool)
	return o
}

func (o *options) addSettingsFlag(key, flag, usage string, encode func(string) (json.RawMessage, error)) {
	v := &settingsFlag{key: key, flag: flag, encode: encode}
	o.settingsFlags = append(o.settingsFlags, v)
	o.flags.StringVar(&v.text, 0, flag, "", usage+"; overrides "+key)
}

func encodeString(s string) (json.RawMessage, error) { return json.Marshal(s) }

func encodeJSON(s string) (json.RawMessage, error) {
	if !json.Valid([]byte(s)) {
		return nil, fmt.Errorf("found %q; allowed: a JSON array", s)
	}
	return json.RawMessage(s), nil
}

func encodeBool(s string) (json.RawMessage, error) {
	b, err := strconv.ParseBool(s)
	if err != nil {
		return nil, fmt.Errorf("found %q; allowed: true or false", s)
	}
	return json.Marshal(b)
}

// settings reads the settings file, if one is given, and applies the flags and
// environment variables. Each call reads the file again.
func (o *options) settings() (*settings.Settings, error) {
	text := []byte("{}")
	if o.settingsFile != "" {
		var err error
		if text, err = os.ReadFile(o.settingsFile); err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
	}
	text, err := o.applyFlags(text)
	if err != nil {
		return nil, err
	}
	name := o.settingsFile
	if name == "" {
		name = "command line"
	}
	return settings.Decode(name, text)
}

// patchOperation is an operation of a JSON Patch document (RFC 6902).
type patchOperation struct {
	Op    string          `json:"op"`
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value"`
}

// applyFlags returns text with the keys set whose flags are given. It returns text
// with a syntax error unchanged, so that the later decoding reports the position of
// the error in the file.
func (o *options) applyFlags(text []byte) ([]byte, error) {
	var ops []patchOperation
	for _, v := range o.settingsFlags {
		if v.text == "" {
			continue
		}
		raw, err := v.encode(v.text)
		if err != nil {
			return nil, fmt.Errorf("flag --%s: %w", v.flag, err)
		}
		ops = append(ops, patchOperation{Op: "add", Path: "/" + v.key, Value: raw})
	}
	doc, err := hujson.Parse(text)
	if err != nil || len(ops) == 0 {
		return text, nil
	}
	encoded, err := json.Marshal(ops)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := doc.Patch(encoded); err != nil {
		return text, nil
	}
	return doc.Pack(), nil
}
