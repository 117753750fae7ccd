package faultcase

import (
	"time"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
)

const hangupGap = 2 * time.Millisecond // between the signals of a burst

// runNodeStep runs a step on a node, which runs before and after it.
func (s *soak) runNodeStep(step soakStep, node *fleet.Node) {
	if step.Action == soakHangups {
		s.sendHangups(node, step.Count)
		return
	}
	if _, running := node.Running(); !running {
		s.addProblem("%s had ended by itself with exit code %d before %s", node.Name, node.ExitCode(), step.Action)
		s.noteError(node.Start())
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
	s.noteError(node.Start())
}

// awaitExit checks that a process to which SIGTERM was sent, and which is not frozen,
// ends within the grace period and with code 0. One whose program had not begun yet
// is ended by the signal itself.
func (s *soak) awaitExit(node *fleet.Node, exited <-chan struct{}) {
	start := s.Recorder.Now()
	clean := node.AwaitExit(exited, soakGrace)
	if !clean && node.TerminatedBeforeStart() {
		s.progress.Post(func(p *soakProgress) { p.summary.EndedBeforeStart++ })
		return
	}
	if !clean {
		s.addProblem("%s did not end with code 0 within %s of SIGTERM: exit code %d after %s",
			node.Name, soakGrace, node.ExitCode(), s.Recorder.Now()-start)
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

// changeSettings writes another settings file for a node while it runs, and tells it.
func (s *soak) changeSettings(node *fleet.Node, step soakStep) {
	values := []string{"50", "100", "200"}
	node.SetSetting("memory.gc", values[step.Count%len(values)])
	s.noteError(node.WriteSettings())
	node.Hangup()
}

// checkCalm checks, after a storm, that a new order is acknowledged, and that every
// node serves by it and has all acknowledged orders, all within the recovery time.
func (s *soak) checkCalm(storm uint64) {
	if s.ctx.Err() != nil {
		return
	}
	start := s.Recorder.Now()
	until := start + soakRecovery
	key, acknowledged := s.submitCalmOrder(storm, until)
	if !acknowledged {
		s.addProblem("storm %d: no order was acknowledged within %s of its last step", storm, soakRecovery)
		return
	}
	s.forEachNode(func(node *fleet.Node) { s.checkRecovered(storm, node, key, until) })
	took := (s.Recorder.Now() - start).Milliseconds()
	s.progress.Post(func(p *soakProgress) { p.summary.SlowestRecovery = max(p.summary.SlowestRecovery, took) })
}

func (s *soak) checkRecovered(storm uint64, node *fleet.Node, key int, until history.Instant) {
	if _, running := node.Running(); !running {
		s.addProblem("storm %d: %s has ended by itself with exit code %d", storm, node.Name, node.ExitCode())
		return
	}
	if !s.acceptsKey(node, key, until) {
		check := s.Operators.CheckKey(node, key)
		s.addProblem("storm %d: %s did not serve by the newest sheet within %s of the last step: status %d code %d %s",
			storm, node.Name, soakRecovery, check.Status, check.Code, check.Detail)
		return
	}
	s.checkOrdersAt(storm, node, until)
}
