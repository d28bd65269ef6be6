/** The store entry of a limit slot. */
import * as z from 'zod';

const slotEntrySchema = z.object({
	/** Endpoint for datagrams: `IP:PORT`. */
	address: z.string(),
	/** Identity of the process. */
	holder: z.string(),
	dataCentre: z.string(),
	/** Era of the store for which the entry was written. */
	era: z.int().min(0),
});

/** The store entry of a slot. */
export type SlotEntry = z.infer<typeof slotEntrySchema>;

/** Parses the value of an entry; undefined if it is invalid. */
export function parseSlotEntry(value: string): SlotEntry | undefined {
	try {
		return slotEntrySchema.safeParse(JSON.parse(value)).data;
	} catch {
		return undefined;
	}
}
