/*
 * Model of orders to one engine, sent under a lease that is held in the platform's store and has a fencing token.
 *
 * Environment steps: a holder that is paused (any interleaving) and doesn't notice that its lease has expired, a crash,
 * and orders that arrive late. A new holder waits for the old lease to expire and then for LONGEST_ORDER, the maximum
 * duration of an order; only then does it read the engine's state. An engine with FENCED rejects an order whose
 * fencing token is older than the newest that it has seen.
 *
 * Time is counted in ticks. A holder checks its lease and sends an order in one step. The order then reaches the engine
 * within LONGEST_ORDER ticks or never, because it carries the time at which it expires. A fenced engine needs no such
 * bound.
 */
#ifndef HOLDERS
#define HOLDERS 3
#endif
#define LEASE 2
#define LONGEST_ORDER 2
#define MAX_TIME 12
#define NO_TIME 100

byte now = 0;

/* The lease object: the fencing token and the time at which it expires. */
byte number = 0;
byte leaseEnd = 0;

/* The engine: the newest fencing token that it has seen, and the token of the last order that it carried out. */
byte newest = 0;
byte obeyed = 0;

/* Orders in flight, one for each fencing token. */
bool underWay[HOLDERS + 1];
byte goodUntil[HOLDERS + 1];

bool olderObeyed = false;
bool numberShared = false;
bool taken[HOLDERS + 1];

proctype Holder(byte id) {
    byte mine = 0;
    byte ends = 0;
    byte seenNumber = 0;

    /* takes an expired lease by a conditional write */
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
    /* waits until no order of the previous holder can arrive any more */
endWait:
    atomic { mine == 1 || now >= ends - LEASE + LONGEST_ORDER -> skip };
#endif
    /* reads the engine's state; a newer fencing token there means that the lease is lost */
    if
    :: newest > mine -> goto done
    :: else
    fi;
    /* sends one order if the lease is still valid by the holder's own clock */
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
