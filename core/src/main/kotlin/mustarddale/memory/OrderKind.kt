package mustarddale.memory

import kotlinx.serialization.Serializable

/** What an order asks an engine to do. */
@Serializable
public enum class OrderKind { LOAD, UNLOAD }
