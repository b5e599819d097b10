/*
 * Configuration revisions: two instances read the platform, whose answers may be
 * stale, and tell each other. A new run of an instance keeps nothing of the old
 * one. It is ready after it has heard its peer and the platform; it takes the
 * highest revision of both, and keeps asking until it has an answer of each.
 *
 * Left out: waiting for the peer before being ready.
 *
 * Checked: no instance ever applies a lower revision, and a new run is not ready
 * below what its peer applied when the run began, unless the peer restarts too.
 */
#define LAST 3
#define RESTARTS 2

byte published = 1;
byte applied[2];
bool ready[2];
byte required[2];                /* what the peer had applied at the start */
byte restarts = 0;

/* Takes a revision if it is higher. */
inline apply(self, revision) {
  if
  :: revision > applied[self] -> applied[self] = revision
  :: else -> skip
  fi
}

proctype Platform() {
  do
  :: published < LAST -> published++
  :: break
  od
}

/* One instance; each option is one exchange, so that any may be late or lost. */
proctype Instance(byte self) {
  byte seen;
  byte before;
  bool heardPeer = false;
  bool heardPlatform = false;
  byte steps = 0;
  do
  :: steps < 4 ->
     atomic {
       steps++;
       before = applied[self];
       if
       :: /* the platform answers with any revision up to the newest */
          select(seen : 1 .. LAST);
          if
          :: seen <= published -> apply(self, seen); heardPlatform = true
          :: else -> skip
          fi
       :: /* the peer answers with what it applies */
          apply(self, applied[1 - self]);
          heardPeer = true
       :: skip /* lost */
       fi;
       assert(applied[self] >= before);
       if
       :: heardPlatform && !ready[self] ->
          ready[self] = true;
          assert(applied[self] >= required[self])
       :: else -> skip
       fi
     }
  :: restarts < RESTARTS ->
     atomic {
       restarts++;
       applied[self] = 0;
       ready[self] = false;
       heardPeer = false;
       heardPlatform = false;
       required[self] = applied[1 - self];
       required[1 - self] = 0
     }
  :: steps == 4 -> break
  od
}

init {
  atomic {
    run Platform();
    run Instance(0);
    run Instance(1)
  }
}
