/** Rendezvous hashing (Thaler and Ravishankar 1998): VMs with the same member list choose the same members without communication. */

/** Returns the `count` members with the highest rank. */
export function chooseByRank(members: readonly string[], count: number, rank: (member: string) => number): readonly string[] {
	return members
		.map(member => ({member, rank: rank(member)}))
		.toSorted((a, b) => b.rank - a.rank || (a.member < b.member ? -1 : 1))
		.slice(0, count)
		.map(({member}) => member);
}
