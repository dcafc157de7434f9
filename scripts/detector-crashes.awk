# Reads the output of `go test -race` and prints the packages whose test binary
# ended by a failed check of the race detector, or by a fault in foreign code, which is
# the detector's alone here.
# Exits with 1 if a package failed in any other way.
/^ *--- FAIL/ || /^WARNING: DATA RACE/ || /^panic: / || /^fatal error: / { failed = 1 }
/^ThreadSanitizer: CHECK failed/ { crashed = 1 }
/^PC=0x.* sigcode=1 / && previous == "SIGSEGV: segmentation violation" { crashed = 1 }
/^ok / { failed = crashed = 0 }
/^FAIL\t/ {
  if (crashed && !failed && NF == 3) print $2
  else other = 1
  failed = crashed = 0
}
{ previous = $0 }
END { exit other }
