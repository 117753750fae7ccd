package kernel

// RFC3339Milli is the layout of instants in logs and on the command line.
const RFC3339Milli = "2006-01-02T15:04:05.000Z07:00"
