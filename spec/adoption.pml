/*
 * Model of configuration adoption: publishers increase the generation in the store, and instances adopt the generations
 * that they learn from watches, reads and peers.
 *
 * Environment steps: events that arrive late and in any order, reads that return an old state, a store that is restored
 * from an older backup, restarts of an instance, and a partition (an event that never arrives).
 *
 * A restarted instance has no configuration. It serves requests again only after it has adopted one, and asks its peers
 * as well as the store, so that a restored store does not set it back while a peer has a newer generation.
 */
#define INSTANCES 2
#define GENERATIONS 3
#ifndef FAULTS
#define FAULTS 3
#endif

byte store = 1;
byte published = 1;             /* the highest generation ever published */
byte copy = 1;                  /* the backup that a restore returns to */
byte inForce[INSTANCES];
byte highest[INSTANCES];        /* the highest generation that the instance has had in force, restarts included */
bool serving[INSTANCES];
bool event[(GENERATIONS + 1) * INSTANCES];
byte faults = FAULTS;

bool wentBack = false;
bool reused = false;

inline adopt(n, generation) {
    d_step {
        if
#ifdef MUTANT_ADOPT_LOWER
        :: generation != inForce[n] ->
#else
        :: generation > inForce[n] ->
#endif
            inForce[n] = generation;
            wentBack = (generation < highest[n]);
            assert(!wentBack);
            highest[n] = generation
        :: else
        fi;
        serving[n] = true
    }
}

/*
 * Publishes the next generation by a conditional write. It exceeds those of the store and of all instances, so that no
 * generation is reused after a restore.
 */
proctype Publisher() {
    byte seen;
    byte next;
end:
    do
    :: atomic {
            published < GENERATIONS ->
            seen = store;
#ifdef MUTANT_PUBLISH_FROM_STORE_ALONE
            next = store + 1
#else
            next = (store > inForce[0] -> store : inForce[0]);
            next = (next > inForce[1] -> next : inForce[1]);
            next = next + 1
#endif
        };
        atomic {
            if
            :: store == seen && next <= GENERATIONS ->
                reused = (next <= published);
                assert(!reused);
                store = next;
                published = next;
                event[next * INSTANCES] = true;
                event[next * INSTANCES + 1] = true
            :: else
            fi;
            seen = 0;
            next = 0
        }
    od
}

proctype Instance(byte n) {
    byte read;
    byte g;
end:
    do
    /* a late event; a watch starts after the first adoption */
    :: atomic { serving[n] && event[2 * INSTANCES + n] -> event[2 * INSTANCES + n] = false; g = 2 }; goto take
    :: atomic { serving[n] && event[3 * INSTANCES + n] -> event[3 * INSTANCES + n] = false; g = 3 }; goto take
    /* a read whose answer is adopted later */
    :: atomic { serving[n] -> read = store }; adopt(n, read); read = 0
    /* the generation that a peer has in force */
    :: atomic { serving[n] -> read = inForce[1 - n] }; adopt(n, read); read = 0
    /* the first adoption after a start: the higher of the store's and the peer's generation */
    :: atomic {
            !serving[n] ->
#ifdef MUTANT_START_FROM_STORE_ALONE
            read = store
#else
            read = (store > inForce[1 - n] -> store : inForce[1 - n])
#endif
        };
        adopt(n, read); read = 0
    /* a restart, while the peer's generation is at least as high */
    :: d_step {
            serving[n] && faults > 0 && inForce[1 - n] >= inForce[n] ->
            faults--;
            inForce[n] = 0;
            serving[n] = false
        }
    od;
take:
    adopt(n, g);
    g = 0;
    goto end
}

/*
 * Backs up the store and restores it later. A restore takes longer than a change takes to reach an instance, so the
 * generation published last is in force at some instance by then.
 */
proctype Restore() {
end:
    do
    :: d_step { copy != store -> copy = store }
    :: d_step { faults > 0 && copy < store && (inForce[0] == published || inForce[1] == published) ->
            faults--;
            store = copy
       }
    od
}

init {
    atomic {
        run Publisher();
        run Restore();
        run Instance(0);
        run Instance(1)
    }
}
