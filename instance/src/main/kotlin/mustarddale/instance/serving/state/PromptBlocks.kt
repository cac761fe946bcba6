package mustarddale.instance.serving.state

import mustarddale.serving.prompt.PromptBlock
import mustarddale.time.Clock

/** The blocks of prompts that the leader has sent; confined to one thread. */
public class PromptBlocks(private val clock: Clock) {
    private var blocks = emptyList<PromptBlock>()
    private var updatedAtMillis = 0L

    /** The number of blocks. */
    public val size: Int get() = blocks.size

    /** Replaces all blocks by those that the leader has sent. */
    public fun update(newBlocks: List<PromptBlock>) {
        blocks = newBlocks
        updatedAtMillis = clock.monotonicMillis()
    }

    /** Returns all blocks as of now. */
    public fun current(): List<PromptBlock> {
        val ageMillis = clock.monotonicMillis() - updatedAtMillis
        return blocks.map {
            it.copy(probeInMillis = (it.probeInMillis - ageMillis).coerceAtLeast(0))
        }
    }

    /** Returns the blocks of requests whose prompts have [parts]. */
    public fun matching(parts: List<String>): List<PromptBlock> =
        if (blocks.isEmpty()) emptyList() else current().filter { it.matches(parts) }
}
