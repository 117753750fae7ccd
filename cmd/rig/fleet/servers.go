package fleet

import (
	"strings"

	"stepwick/cmd/rig/emulator"
	"stepwick/cmd/rig/history"
)

func (f *Fleet) startServers() error {
	for _, server := range f.ModelServers {
		if err := server.Start(); err != nil {
			return err
		}
		if f.Spec.ServersStartWarm {
			server.SkipWarmUp()
		}
	}
	for _, server := range f.WebServers {
		if err := server.Start(); err != nil {
			return err
		}
		if f.Spec.ServersStartWarm {
			server.SkipWarmUp()
		}
	}
	return nil
}

// PutServer adds a server to the platform's list, or updates it there, with the given
// state.
func (f *Fleet) PutServer(name, state string) {
	kind := history.KindModel
	services := f.Spec.Services.Model
	if strings.HasPrefix(name, "web") {
		kind = history.KindWeb
		services = f.Spec.Services.Web
	}
	location := f.locations[name]
	f.Platform.PutServer(emulator.ListedServer{
		Name:     name,
		Address:  f.ServerAddress(name),
		Kind:     kind,
		Services: services,
		Region:   location.Region,
		Zone:     location.Zone,
		State:    state,
	})
}

// ServerAddress returns the address that nodes use for a server, which is its
// proxy's.
func (f *Fleet) ServerAddress(server string) string { return f.proxies[server].Address }

// ModelServer returns the model server with the given name, or nil.
func (f *Fleet) ModelServer(name string) *emulator.ModelServer {
	for _, server := range f.ModelServers {
		if server.Name == name {
			return server
		}
	}
	return nil
}

// WebServer returns the web server with the given name, or nil.
func (f *Fleet) WebServer(name string) *emulator.WebServer {
	for _, server := range f.WebServers {
		if server.Name == name {
			return server
		}
	}
	return nil
}

// crashable is an emulated server of either kind.
type crashable interface {
	Start() error
	Crash()
}

// crashServer stops a server and its proxy, so that its address refuses connections.
func (f *Fleet) crashServer(name string, server crashable) {
	f.Recorder.AddAction("crash "+name, false)
	f.Recorder.AddInterruption(name)
	f.proxies[name].Stop()
	server.Crash()
}

func (f *Fleet) restartServer(name string, server crashable) error {
	if err := server.Start(); err != nil {
		return err
	}
	return f.proxies[name].Start()
}

// CrashWebServer stops a web server abruptly; its address refuses connections.
func (f *Fleet) CrashWebServer(name string) { f.crashServer(name, f.WebServer(name)) }

// RestartWebServer starts a crashed web server again.
func (f *Fleet) RestartWebServer(name string) error {
	f.Recorder.AddAction("return "+name, false)
	return f.restartServer(name, f.WebServer(name))
}

// CrashModelServer stops a model server abruptly; its address refuses connections.
func (f *Fleet) CrashModelServer(name string) { f.crashServer(name, f.ModelServer(name)) }

// RestartModelServer starts a crashed model server again; it has to warm up.
func (f *Fleet) RestartModelServer(name string) error {
	f.Recorder.AddAction("cold return "+name, false)
	return f.restartServer(name, f.ModelServer(name))
}
