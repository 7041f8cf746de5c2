// Package experiment runs named experiments with real node processes and writes
// a report. The report states the seed, the revision of the code and the machine,
// and for each measure the target, the figure and the figure of a baseline in the
// same run.
package experiment
