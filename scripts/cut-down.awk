# Reduces a fleet document to what one machine can run: the first two failure
# domains with at most one prefill, two decode and one plain endpoint per pool
# and domain, on local ports. Adds an API key for the demo.
#
# Variables: digest, the SHA-256 of the demo key; port, the first local port;
# summary, the file for the summary that ./demo reads.
# Writes the document to standard output.

function value(line) {
  sub(/^[^=]*=[ \t]*/, "", line)
  sub(/[ \t]+$/, "", line)
  return line
}

function keep_endpoint(    slot, limit) {
  if (!(field["domain"] in chosen)) {
    return 0
  }
  slot = field["pool"] " " field["role"] " " field["domain"]
  limit = field["role"] == "decode" ? 2 : 1
  kept[slot]++
  return kept[slot] <= limit
}

function print_endpoint(    i, key) {
  print header
  for (i = 1; i <= count; i++) {
    key = names[i]
    if (key == "host") {
      print "host = 127.0.0.1"
    } else if (key == "port") {
      print "port = " port
    } else {
      print lines[i]
    }
  }
  print "endpoint " id " " field["role"] " " port > summary
  port++
}

function finish_section(    i) {
  if (header == "") {
    return
  }
  if (kind == "domain" && domains < 2) {
    domains++
    chosen[id] = 1
    print "domain " id > summary
  } else if (kind == "pool") {
    poolKind[id] = field["kind"]
  } else if (kind == "service") {
    servicePool[id] = field["pool"]
  } else if (kind == "route") {
    routeOrder[++routes] = field["method"] " " field["path"] " " field["service"] " " field["safety"]
  } else if (kind == "account" && account == "") {
    account = id
  }
  if (kind == "endpoint") {
    if (keep_endpoint()) {
      print_endpoint()
    }
    return
  }
  print header
  for (i = 1; i <= count; i++) {
    print lines[i]
  }
}

function summarize_routes(    i, part, name) {
  for (i = 1; i <= routes; i++) {
    split(routeOrder[i], part, " ")
    if (poolKind[servicePool[part[3]]] == "split") {
      name = "note"
    } else {
      name = part[4] == "at-most-once" ? "once" : "lookup"
    }
    if (!(name in seen)) {
      seen[name] = 1
      print "route " name " " part[1] " " part[2] > summary
    }
  }
}

/^[ \t]*[#;]/ || /^[ \t]*$/ { next }

/^\[/ {
  finish_section()
  header = $0
  split(substr($0, 2, length($0) - 2), words, " ")
  kind = words[1]
  id = words[2]
  count = 0
  split("", field)
  next
}

{
  key = $0
  sub(/[ \t]*=.*/, "", key)
  sub(/^[ \t]+/, "", key)
  count++
  names[count] = key
  lines[count] = $0
  field[key] = value($0)
}

END {
  finish_section()
  print "[key demo]"
  print "team = demo"
  print "account = " account
  print "digest = " digest
  summarize_routes()
}
