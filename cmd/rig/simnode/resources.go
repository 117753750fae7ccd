package simnode

import (
	"runtime"

	"github.com/prometheus/procfs"
)

// heapBytes returns the memory in use by heap and stacks after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// selfCPU returns the CPU seconds used by this process, or 0 if they can't be read.
func selfCPU() float64 {
	process, err := procfs.Self()
	if err != nil {
		return 0
	}
	return processCPU(process)
}

func processCPU(process procfs.Proc) float64 {
	stat, err := process.Stat()
	if err != nil {
		return 0
	}
	return stat.CPUTime()
}

// coreCPU returns the CPU seconds used by all cores.
func (f *simFleet) coreCPU() float64 {
	sum := 0.0
	for _, core := range f.cores {
		if process, err := procfs.NewProc(core.command.Process.Pid); err == nil {
			sum += processCPU(process)
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
