/*
 * Share leases: one giver pledges its share to homes. Two homes both believe to
 * be the one home. A home counts its lease from when it asked, the giver counts
 * from when it answers, plus drift. Time is discrete and kept as the time that is
 * left or has gone by, so that the states are finite and runs are not bounded.
 * Requests and answers may be lost, be late by any time, or be handled late by a
 * home that was paused; a home may restart.
 *
 * Left out: a home counts its lease from the answer's arrival.
 *
 * Checked: the share is used by at most one process at any time.
 */
#define LEASE 3
#define DRIFT 1
#define NONE 255

byte requestAge[2] = NONE;       /* time since the home asked; NONE without request */
byte answerAge[2] = NONE;        /* the same for the request that was answered */
byte heldLeft[2];                /* what is left of the home's lease */
byte givenLeft;                  /* what is left until the giver takes the share back */
byte holder;

#define giverUses (givenLeft == 0)
#define homeUses(h) (heldLeft[h] > 0)

inline grow(age) {
  if
  :: age != NONE && age <= LEASE -> age++
  :: else -> skip
  fi
}

inline shrink(left) {
  if
  :: left > 0 -> left--
  :: else -> skip
  fi
}

proctype Clock() {
end:
  do
  :: atomic {
       grow(requestAge[0]); grow(requestAge[1]);
       grow(answerAge[0]); grow(answerAge[1]);
       shrink(heldLeft[0]); shrink(heldLeft[1]);
       shrink(givenLeft)
     }
  od
}

proctype Home(byte self) {
end:
  do
  :: atomic { requestAge[self] == NONE -> requestAge[self] = 0 }
  :: atomic { requestAge[self] != NONE -> requestAge[self] = NONE } /* lost */
  :: atomic {
       answerAge[self] != NONE ->
       if
       :: heldLeft[self] = LEASE
       fi;
       answerAge[self] = NONE
     }
  :: atomic { answerAge[self] != NONE -> answerAge[self] = NONE } /* lost */
  :: atomic { heldLeft[self] = 0; requestAge[self] = NONE } /* restart */
  od
}

proctype Giver() {
  byte h;
end:
  do
  :: atomic {
       if
       :: h = 0
       :: h = 1
       fi;
       if
       :: requestAge[h] != NONE && answerAge[h] == NONE && (givenLeft == 0 || holder == h) ->
          answerAge[h] = requestAge[h];
          requestAge[h] = NONE;
          holder = h;
          givenLeft = LEASE + DRIFT
       :: else -> skip
       fi;
       h = 0
     }
  od
}

proctype Observer() {
end:
  do
  :: atomic {
       assert(!(homeUses(0) && homeUses(1)));
       assert(!(giverUses && (homeUses(0) || homeUses(1))))
     }
  od
}

init {
  atomic {
    run Clock();
    run Home(0);
    run Home(1);
    run Giver();
    run Observer()
  }
}
