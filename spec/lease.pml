/*
 * Orders to one engine under a lease with a fencing number, held in the platform's store.
 *
 * Environment steps: a holder that is paused (any interleaving) and does not know that its lease ran out, a crash,
 * orders that arrive late. A new holder waits out the old lease plus the longest order, then reads the engine's state
 * back. FENCED engines refuse an order whose number is older than the newest that they have seen.
 *
 * Time is counted in turns. The holder's own check of its lease and the sending of an order are one step, after which
 * the order reaches the engine within LONGEST_ORDER turns or never: the network drops it by then, since an order names
 * the time until which it is good. A fenced engine needs no such bound.
 */
#ifndef HOLDERS
#define HOLDERS 3
#endif
#define LEASE 2
#define LONGEST_ORDER 2
#define MAX_TIME 12
#define NO_TIME 100

byte now = 0;

/* The lease object. */
byte number = 0;
byte leaseEnd = 0;

/* The engine: the newest number seen, what it was last told and by which number. */
byte newest = 0;
byte obeyed = 0;

/* Orders under way, one for each fencing number. */
bool underWay[HOLDERS + 1];
byte goodUntil[HOLDERS + 1];

bool olderObeyed = false;
bool numberShared = false;
bool taken[HOLDERS + 1];

proctype Holder(byte id) {
    byte mine = 0;
    byte ends = 0;
    byte seenNumber = 0;

    /* take a lease that has run out, by a conditional write */
endTake:
    atomic {
        number < HOLDERS && now >= leaseEnd ->
        seenNumber = number
    };
    atomic {
        if
#ifdef MUTANT_TAKE_UNCONDITIONALLY
        :: true ->
#else
        :: number == seenNumber ->
#endif
            number = seenNumber + 1;
            mine = seenNumber + 1;
            numberShared = taken[mine];
            assert(!numberShared);
            taken[mine] = true;
            leaseEnd = now + LEASE;
            ends = leaseEnd
        :: number != seenNumber -> goto done
        fi
    };

#ifdef MUTANT_NO_WAIT
    skip;
#else
    /* wait out the longest order of the holder before */
endWait:
    atomic { mine == 1 || now >= ends - LEASE + LONGEST_ORDER -> skip };
#endif
    /* read the engine's state back: a newer number there means that the lease is lost */
    if
    :: newest > mine -> goto done
    :: else
    fi;
    /* send one order, if the lease still stands by the holder's own clock */
#ifdef MUTANT_SEND_AFTER_LEASE
    atomic { underWay[mine] = true; goodUntil[mine] = now + LONGEST_ORDER };
#else
    atomic {
        if
        :: now < ends -> underWay[mine] = true; goodUntil[mine] = ends + LONGEST_ORDER - 1
        :: now >= ends
        fi
    };
#endif
done:
    skip
}

inline arrive(n) {
    d_step {
        underWay[n] ->
        underWay[n] = false;
        if
#if defined(FENCED) && !defined(MUTANT_ENGINE_FORGETS)
        :: n < newest -> skip
#endif
#ifndef FENCED
        :: now > goodUntil[n] -> skip
#endif
        :: else ->
            olderObeyed = (n < newest);
            assert(!olderObeyed);
            obeyed = n;
            if
            :: n > newest -> newest = n
            :: else
            fi
        fi
    }
}

proctype Engine() {
end:
    do
    :: arrive(1)
    :: arrive(2)
    :: arrive(3)
    od
}

proctype Time() {
end:
    do
    :: d_step { now < MAX_TIME -> now++ }
    od
}

init {
    atomic {
        run Engine();
        run Time();
        run Holder(0);
        run Holder(1);
        run Holder(2)
    }
}
