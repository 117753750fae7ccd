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

	maxFrontSeeds = 2 // fronts among a node's seed addresses
	maxSeeds      = 3 // seed addresses of a node

	configMode  = 0o600
	dataDirMode = 0o700
)

// OperatorKeys maps the names of the operators to their keys in plain text.
var OperatorKeys = map[string]string{
	"ade":  "operator-key-of-ade",
	"bola": "operator-key-of-bola",
}

// HashKey returns the SHA-256 of a key in hexadecimal, the form in the setting
// operator.keys.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// prepareStart writes the node's settings file, creates the data directory of a core and
// returns the command-line arguments of the process.
func (n *Node) prepareStart() ([]string, error) {
	text, err := yaml.Marshal(n.effectiveSettings())
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

// effectiveSettings returns the fleet's default settings for the node, overridden by the
// settings of the deployment and then by the node's own.
func (n *Node) effectiveSettings() map[string]string {
	settings := map[string]string{
		"name":               n.Name,
		"region":             n.Region,
		"zone":               n.Zone,
		"listen.caller":      n.CallerAddress,
		"listen.internal":    n.internalAddress,
		"advertise.caller":   n.CallerAddress,
		"advertise.internal": n.advertisedAddress,
		"bind":               n.SourceIP,
		"seeds":              strings.Join(n.seedAddresses(), ","),
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

// seedAddresses returns the addresses of the nodes that the node contacts first to join the
// fleet: fronts, then cores.
func (n *Node) seedAddresses() []string {
	var fronts, cores []string
	for _, other := range slices.Backward(n.fleet.Nodes) {
		switch {
		case other == n:
		case other.Core:
			cores = append(cores, other.advertisedAddress)
		default:
			fronts = append(fronts, other.advertisedAddress)
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
