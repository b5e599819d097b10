/*
 * Tickets: a call that must not run twice is asked for with a ticket that names
 * the incarnation that issued it. Instance 0 issued the ticket. The caller asks
 * at any instance, again and again; the other instance forwards to the issuer's
 * incarnation. The issuer may crash and come back as a new incarnation at any
 * time, and the endpoint works late. Messages may be lost.
 *
 * Checked: the endpoint runs the call at most once.
 */
#define ASKS 3
#define CRASHES 2

byte incarnation = 1;            /* the issuer's current run */
bool remembered = false;         /* the issuer has sent this call before */
byte runs = 0;                   /* how often the endpoint ran the call */
byte crashes = 0;

chan toIssuer = [2] of { byte }; /* the incarnation that the ticket names */
chan toEndpoint = [3] of { byte };

/* The caller asks directly or through the other instance, which forwards. */
proctype Caller() {
  byte asks = 0;
  do
  :: asks < ASKS ->
     asks++;
     if
     :: nfull(toIssuer) -> toIssuer ! 1
     :: skip /* the question is lost */
     fi
  :: asks == ASKS -> break
  od
}

proctype Issuer() {
  byte named;
end:
  do
  :: toIssuer ? named ->
     atomic {
       if
       :: named != incarnation -> skip /* final answer: may have run */
       :: named == incarnation && remembered -> skip /* the remembered answer */
       :: named == incarnation && !remembered ->
          remembered = true;
          if
          :: toEndpoint ! 1
          :: skip /* lost on its way; it is not sent again */
          fi
       fi
     }
  od
}

/* A crash forgets everything and begins a new incarnation. */
proctype Crash() {
  do
  :: crashes < CRASHES ->
     atomic {
       crashes++;
       incarnation++;
       remembered = false
     }
  :: break
  od
}

proctype Endpoint() {
  byte call;
end:
  do
  :: toEndpoint ? call ->
     runs++;
     assert(runs <= 1)
  od
}

init {
  atomic {
    run Caller();
    run Issuer();
    run Crash();
    run Endpoint()
  }
}
