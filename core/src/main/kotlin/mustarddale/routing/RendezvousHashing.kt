package mustarddale.routing

import mustarddale.key.Sha256

/**
 * Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
 * 1998): each item belongs to the owner with the highest hash of the pair, so when an owner leaves,
 * only its own items move.
 */
public object RendezvousHashing {
    /** Returns which of [owners] owns [item], null if [owners] is empty. */
    public fun owner(item: String, owners: Collection<String>): String? =
        owners.maxByOrNull { Sha256.of("$item\n$it") }

    /** Returns the slot of [item], by its hash modulo [totalSlots]. */
    public fun slotOf(item: String, totalSlots: Int): Int =
        Sha256.of(item).take(HASH_DIGITS).toInt(HEX_RADIX) % totalSlots

    /** As many hexadecimal digits of the hash as fit in a non-negative Int. */
    private const val HASH_DIGITS = 7
    private const val HEX_RADIX = 16
}
