package faultcase

import (
	"time"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
)

const hangupGap = 2 * time.Millisecond // between the signals of a burst

// runNodeStep runs a step on a node. The node must be running before the step, and is
// running again after it.
func (s *soak) runNodeStep(step soakStep, node *fleet.Node) {
	if step.Action == soakHangups {
		s.sendHangups(node, step.Count)
		return
	}
	if _, running := node.Running(); !running {
		s.addProblem("%s had exited unexpectedly with code %d before step %s", node.Name, node.ExitCode(), step.Action)
		s.addErrorAsProblem(node.Start())
		return
	}
	switch step.Action {
	case soakRestart:
		s.awaitExit(node, node.SendTerminate())
	case soakRestartFrozen:
		node.Freeze()
		s.Wait(step.Length / 2)
		exited := node.SendTerminate()
		s.Wait(step.Length / 2)
		node.Thaw()
		s.awaitExit(node, exited)
	case soakKillDraining:
		node.SendTerminate()
		s.Wait(step.Length)
		node.Kill()
	case soakKill:
		node.Kill()
	case soakFreeze:
		node.Freeze()
		s.Wait(step.Length)
		node.Thaw()
		return
	case soakChangeSettings:
		s.changeSettings(node, step)
		s.awaitExit(node, node.SendTerminate())
	}
	s.Wait(step.Length)
	s.addErrorAsProblem(node.Start())
}

// awaitExit checks that a process that was sent SIGTERM, and is not frozen, exits within
// the grace period and with code 0. A process that SIGTERM ended before it handled
// signals is only counted.
func (s *soak) awaitExit(node *fleet.Node, exited <-chan struct{}) {
	start := s.Recorder.Now()
	clean := node.AwaitExit(exited, soakStopTimeout)
	if !clean && node.TerminatedBeforeStart() {
		s.progress.Post(func(p *soakProgress) { p.summary.EndedBeforeStart++ })
		return
	}
	if !clean {
		s.addProblem("%s did not exit with code 0 within %s of SIGTERM: exit code %d after %s",
			node.Name, soakStopTimeout, node.ExitCode(), s.Recorder.Now()-start)
	}
	took := (s.Recorder.Now() - start).Milliseconds()
	s.progress.Post(func(p *soakProgress) { p.summary.SlowestExit = max(p.summary.SlowestExit, took) })
}

func (s *soak) sendHangups(node *fleet.Node, count int) {
	sent := 0
	for range count {
		if node.Hangup() {
			sent++
		}
		s.Wait(hangupGap)
	}
	s.progress.Post(func(p *soakProgress) { p.summary.HangupsDelivered += sent })
}

// changeSettings writes a changed settings file for a running node and sends the node
// SIGHUP to reload it.
func (s *soak) changeSettings(node *fleet.Node, step soakStep) {
	values := []string{"50", "100", "200"}
	node.SetSetting("memory.gc", values[step.Count%len(values)])
	s.addErrorAsProblem(node.WriteSettings())
	node.Hangup()
}

// checkAfterStorm checks after a storm that, within the recovery time, a new order is
// acknowledged, every node serves by it, and the sheet at every node has all
// acknowledged orders.
func (s *soak) checkAfterStorm(storm uint64) {
	if s.ctx.Err() != nil {
		return
	}
	start := s.Recorder.Now()
	deadline := start + soakRecoveryTimeout
	key, acknowledged := s.submitOrderAfterStorm(storm, deadline)
	if !acknowledged {
		s.addProblem("storm %d: no order was acknowledged within %s of its last step", storm, soakRecoveryTimeout)
		return
	}
	s.forEachNode(func(node *fleet.Node) { s.checkRecovered(storm, node, key, deadline) })
	took := (s.Recorder.Now() - start).Milliseconds()
	s.progress.Post(func(p *soakProgress) { p.summary.SlowestRecovery = max(p.summary.SlowestRecovery, took) })
}

func (s *soak) checkRecovered(storm uint64, node *fleet.Node, key int, deadline history.Instant) {
	if _, running := node.Running(); !running {
		s.addProblem("storm %d: %s has exited unexpectedly with code %d", storm, node.Name, node.ExitCode())
		return
	}
	if !s.acceptsKey(node, key, deadline) {
		check := s.Operators.CheckKey(node, key)
		s.addProblem("storm %d: %s did not serve the newest sheet within %s of the last step: status %d code %d %s",
			storm, node.Name, soakRecoveryTimeout, check.Status, check.Code, check.Detail)
		return
	}
	s.checkOrdersAt(storm, node, deadline)
}
