package mustarddale.instance.serving.state

import kotlinx.coroutines.CompletableDeferred
import mustarddale.serving.backend.ModelRef

/** A model or adapter of a service that requests wait for. */
public data class Awaited(public val service: String, public val wanted: ModelRef)

/** Requests that wait until a model is resident; belongs to one thread. */
public class ModelWaiters {
    private val waiters = HashMap<Awaited, MutableList<CompletableDeferred<Boolean>>>()
    private val comingBack = HashMap<Awaited, MutableList<Long>>()

    /** Whether the instance leaves, so that nobody waits any more. */
    public var isClosed: Boolean = false
        private set

    /** Returns how many requests wait for each model, or were told to come back for it. */
    public fun counts(nowMillis: Long): Map<Awaited, Int> {
        comingBack.values.forEach { times -> times.removeIf { it <= nowMillis } }
        comingBack.values.removeIf { it.isEmpty() }
        return (waiters.keys + comingBack.keys).associateWith {
            (waiters[it]?.size ?: 0) + (comingBack[it]?.size ?: 0)
        }
    }

    /** Notes that a request for [awaited] was refused and should come back at [backAtMillis]. */
    public fun comesBack(awaited: Awaited, backAtMillis: Long) {
        val times = comingBack.getOrPut(awaited) { mutableListOf() }
        if (times.size < MAX_COMING_BACK) times.add(backAtMillis)
    }

    /** Returns whether no more than [limit] requests wait already. */
    public fun hasRoom(limit: Int): Boolean = waiters.values.sumOf { it.size } < limit

    /** Waits until [awaited] may be there; false if the instance leaves. */
    public suspend fun await(awaited: Awaited): Boolean {
        if (isClosed) return false
        val waiter = CompletableDeferred<Boolean>()
        waiters.getOrPut(awaited) { mutableListOf() }.add(waiter)
        try {
            return waiter.await()
        } finally {
            waiters[awaited]?.let {
                it.remove(waiter)
                if (it.isEmpty()) waiters.remove(awaited)
            }
        }
    }

    /** Wakes the requests whose model [isThere]. */
    public fun wake(isThere: (Awaited) -> Boolean) {
        waiters.filterKeys(isThere).values.toList().forEach { list ->
            list.toList().forEach { it.complete(true) }
        }
    }

    /** Ends all waits, because the instance leaves. */
    public fun close() {
        isClosed = true
        waiters.values.flatten().forEach { it.complete(false) }
    }

    private companion object {
        /** More do not change which model is placed first. */
        const val MAX_COMING_BACK = 100
    }
}
