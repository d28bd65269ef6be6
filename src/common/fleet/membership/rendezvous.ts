/** Rendezvous hashing (Thaler and Ravishankar 1998): all who know the same members choose the same ones, with no word between them. */

/** The `count` members of highest rank. */
export function chooseByRank(members: readonly string[], count: number, rank: (member: string) => number): readonly string[] {
	return members
		.map(member => ({member, rank: rank(member)}))
		.toSorted((a, b) => b.rank - a.rank || (a.member < b.member ? -1 : 1))
		.slice(0, count)
		.map(({member}) => member);
}
