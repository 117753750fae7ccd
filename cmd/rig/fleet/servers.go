package fleet

import (
	"strings"

	"stepwick/cmd/rig/emulator"
	"stepwick/cmd/rig/history"
)

func (f *Fleet) startServers() error {
	for _, server := range f.Models {
		if err := server.Start(); err != nil {
			return err
		}
		if f.Spec.ServersWarm {
			server.SkipWarmUp()
		}
	}
	for _, server := range f.Webs {
		if err := server.Start(); err != nil {
			return err
		}
		if f.Spec.ServersWarm {
			server.SkipWarmUp()
		}
	}
	return nil
}

// PutServer lists a server on the platform in a state.
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

// ServerAddress returns the address at which nodes reach a server: that of its
// proxy.
func (f *Fleet) ServerAddress(server string) string { return f.proxies[server].Address }

// Model returns a model server by name, or nil.
func (f *Fleet) Model(name string) *emulator.ModelServer {
	for _, server := range f.Models {
		if server.Name == name {
			return server
		}
	}
	return nil
}

// Web returns a web server by name, or nil.
func (f *Fleet) Web(name string) *emulator.WebServer {
	for _, server := range f.Webs {
		if server.Name == name {
			return server
		}
	}
	return nil
}

// crashable is a server of any kind.
type crashable interface {
	Start() error
	Crash()
}

// crash ends a server; from then on its address refuses connections.
func (f *Fleet) crash(name string, server crashable) {
	f.Recorder.AddAction("crash "+name, false)
	f.Recorder.AddInterruption(name)
	f.proxies[name].Stop()
	server.Crash()
}

func (f *Fleet) restart(name string, server crashable) error {
	if err := server.Start(); err != nil {
		return err
	}
	return f.proxies[name].Start()
}

// CrashWebServer ends a web server at once; its address refuses connections.
func (f *Fleet) CrashWebServer(name string) { f.crash(name, f.Web(name)) }

// RestartWebServer brings a web server back.
func (f *Fleet) RestartWebServer(name string) error {
	f.Recorder.AddAction("return "+name, false)
	return f.restart(name, f.Web(name))
}

// CrashModelServer ends a model server at once; its address refuses connections.
func (f *Fleet) CrashModelServer(name string) { f.crash(name, f.Model(name)) }

// RestartModelServer brings a model server back, without warmth.
func (f *Fleet) RestartModelServer(name string) error {
	f.Recorder.AddAction("cold return "+name, false)
	return f.restart(name, f.Model(name))
}
