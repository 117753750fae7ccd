package simnode

import (
	"runtime"

	"github.com/prometheus/procfs"
)

// heapBytes returns the memory in use by heap and stacks after a collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// ownCPU returns the processor seconds of this process; 0 if they can't be read.
func ownCPU() float64 {
	process, err := procfs.Self()
	if err != nil {
		return 0
	}
	return cpuOf(process)
}

func cpuOf(process procfs.Proc) float64 {
	stat, err := process.Stat()
	if err != nil {
		return 0
	}
	return stat.CPUTime()
}

// coreCPU returns the processor seconds of all cores.
func (f *simFleet) coreCPU() float64 {
	sum := 0.0
	for _, core := range f.cores {
		if process, err := procfs.NewProc(core.command.Process.Pid); err == nil {
			sum += cpuOf(process)
		}
	}
	return sum
}

// coreRSS returns the mean resident memory of the cores in MiB.
func (f *simFleet) coreRSS() float64 {
	sum := 0
	for _, core := range f.cores {
		process, err := procfs.NewProc(core.command.Process.Pid)
		if err != nil {
			continue
		}
		if stat, err := process.Stat(); err == nil {
			sum += stat.ResidentMemory()
		}
	}
	return float64(sum) / mib / float64(len(f.cores))
}
