/*
 * The servers of one service that accept requests, with an index by model, so that a request does
 * not look at the servers that lack its model. The list is built when servers or their models
 * change, and is the same for all requests until then.
 */
package mustarddale.serving.backend

/** The candidates [all] of one service; not thread-safe. */
public class CandidateList(private val all: List<Candidate>) : AbstractList<Candidate>() {
    private val holdersByRef = HashMap<ModelRef, List<Candidate>>()
    private val holdersByModel: Map<String, List<Candidate>> by lazy(LazyThreadSafetyMode.NONE) {
        val holders = HashMap<String, MutableList<Candidate>>()
        all.forEach { candidate ->
            candidate.backend.models.keys.forEach {
                holders.getOrPut(it) { ArrayList(HOLDERS_CAPACITY) }.add(candidate)
            }
        }
        holders
    }

    override val size: Int get() = all.size

    override fun get(index: Int): Candidate = all[index]

    override fun iterator(): Iterator<Candidate> = all.iterator()

    /** Returns the candidates that hold [wanted]; all of them if it is null. */
    public fun holdersOf(wanted: ModelRef?): List<Candidate> {
        if (wanted == null) return all
        val modelHolders = holdersByModel[wanted.model] ?: return emptyList()
        if (wanted.adapter == null) return modelHolders
        holdersByRef[wanted]?.let { return it }
        val holders = modelHolders.filter { it.backend.holds(wanted) }
        // Names that no server holds come from callers, and there is no end to them.
        if (holders.isNotEmpty()) holdersByRef[wanted] = holders
        return holders
    }

    private companion object {
        /** Most models are held by one to three servers. */
        const val HOLDERS_CAPACITY = 4
    }
}

/** Returns the candidates that hold [wanted]; all of them if it is null. */
public fun List<Candidate>.holdersOf(wanted: ModelRef?): List<Candidate> = when {
    this is CandidateList -> holdersOf(wanted)
    wanted == null -> this
    else -> filter { it.backend.holds(wanted) }
}
