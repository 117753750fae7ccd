package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

const (
	fleetSecret = "rig-fleet-secret-0123456789"

	maxFrontSeeds = 2 // addresses of fronts among a node's seeds
	maxSeeds      = 3

	configMode  = 0o600
	dataDirMode = 0o700
)

// OperatorKeys are the keys of the operators by name.
var OperatorKeys = map[string]string{
	"ade":  "operator-key-of-ade",
	"bola": "operator-key-of-bola",
}

// HashKey returns the hex SHA-256 of a key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// prepare writes the node's settings file, makes its data folder and returns the
// arguments of its process.
func (n *Node) prepare() ([]string, error) {
	text, err := yaml.Marshal(n.allSettings())
	if err != nil {
		return nil, err
	}
	config := filepath.Join(n.fleet.Dir, n.Name+".yaml")
	if err := os.WriteFile(config, text, configMode); err != nil {
		return nil, errors.Wrap(err, n.Name)
	}
	if !n.Core {
		return []string{"front", "--config", config}, nil
	}
	if err := os.MkdirAll(n.dataDir, dataDirMode); err != nil {
		return nil, errors.Wrap(err, n.Name)
	}
	return []string{"core", "--config", config}, nil
}

// allSettings returns the settings that the fleet gives the node, overridden by
// those of the deployment and then by the node's own.
func (n *Node) allSettings() map[string]string {
	settings := map[string]string{
		"name":               n.Name,
		"region":             n.Region,
		"zone":               n.Zone,
		"listen.caller":      n.CallerAddress,
		"listen.internal":    n.internal,
		"advertise.caller":   n.CallerAddress,
		"advertise.internal": n.advertised,
		"bind":               n.SourceIP,
		"seeds":              strings.Join(n.seeds(), ","),
		"core.voters":        strconv.Itoa(len(n.fleet.Cores())),
		"platform.url":       "http://" + n.fleet.Platform.Address + "/servers",
		"fleet.secret":       fleetSecret,
		"operator.keys":      strings.Join(hashedOperatorKeys(), ","),
	}
	if n.Core {
		settings["data"] = n.dataDir
	}
	maps.Copy(settings, n.fleet.Spec.Settings)
	maps.Copy(settings, n.Settings)
	return settings
}

// seeds returns the addresses of other nodes at which the node begins: fronts,
// then cores.
func (n *Node) seeds() []string {
	var fronts, cores []string
	for _, other := range slices.Backward(n.fleet.Nodes) {
		switch {
		case other == n:
		case other.Core:
			cores = append(cores, other.advertised)
		default:
			fronts = append(fronts, other.advertised)
		}
	}
	seeds := fronts[:min(maxFrontSeeds, len(fronts))]
	remaining := maxSeeds - len(seeds)
	return append(seeds, cores[:min(remaining, len(cores))]...)
}

func hashedOperatorKeys() []string {
	var keys []string
	for name, key := range OperatorKeys {
		keys = append(keys, name+":"+HashKey(key))
	}
	slices.Sort(keys)
	return keys
}
