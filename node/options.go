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

// options are the command line and environment of the node.
type options struct {
	flags         *ff.FlagSet
	settingsFile  string
	logLevel      string
	version       bool
	settingsFlags []*settingsFlag
}

// settingsFlag is a flag that overrides a key of the settings file.
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
	o.addSettingsFlag("admin", "admin", "address for operators", encodeString)
	o.addSettingsFlag("platform", "platform", "address of the platform", encodeString)
	o.addSettingsFlag("peers", "peers", "JSON array of addresses of other nodes", encodeJSON)
	o.addSettingsFlag("fleetKeys", "fleet-keys", "JSON array of keys for datagrams", encodeJSON)
	o.addSettingsFlag("certificate", "certificate", "PEM file with the node's certificate", encodeString)
	o.addSettingsFlag("key", "key", "PEM file with the node's key", encodeString)
	o.addSettingsFlag("authority", "authority", "PEM file with the authority of the fleet", encodeString)
	o.addSettingsFlag("drainTimeout", "drain-timeout", "bound of a graceful stop", encodeString)
	o.addSettingsFlag("requestTimeout", "request-timeout", "deadline of requests that state none", encodeString)
	o.addSettingsFlag("keyRetention", "key-retention", "how long an idempotency key is remembered", encodeString)
	o.addSettingsFlag("traceEndpoint", "trace-endpoint", "URL that receives spans as OTLP over HTTP", encodeString)
	o.addSettingsFlag("profiling", "profiling", "true serves pprof to operators", encodeBool)
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

// settings reads the settings file and applies the flags and the environment.
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

// patchOperation is an operation of RFC 6902.
type patchOperation struct {
	Op    string          `json:"op"`
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value"`
}

// applyFlags sets the keys whose flags are given. A file with a syntax error is
// returned as it is, so that its error tells the place in the file.
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
