/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// A network of nodes in virtual time, for tests and benchmarks of the state machines. Messages arrive one step after
/// they are sent, and links can be cut in one direction.

#ifndef ROADFERRY_VIRTUAL_NETWORK_H_HEADER_GUARD
#define ROADFERRY_VIRTUAL_NETWORK_H_HEADER_GUARD

#include <roadferry/roadferry.h>

#include <functional>

namespace roadferry
{

constexpr Micros kVirtualStep = 100 * kMillisecond;

/// Delivers messages of one type between numbered nodes, one step after they were sent.
template<class Message>
class VirtualNetwork
{
public:
	/// Queues a message for the next delivery, unless the link is cut.
	void send(std::size_t _from, std::size_t _to, Message _message)
	{
		if (this->cutLinks.count({_from, _to}) == 0)
		{
			this->undelivered.push_back(Delivery{_from, _to, std::move(_message)});
		}
	}

	/// Delivers all queued messages.
	void deliver(const std::function<void(std::size_t, std::size_t, const Message&)>& _receive)
	{
		const std::vector<Delivery> now = std::move(this->undelivered);
		this->undelivered.clear();
		for (const Delivery& delivery : now)
		{
			_receive(delivery.from, delivery.to, delivery.message);
		}
	}

	std::set<std::pair<std::size_t, std::size_t>> cutLinks; ///< Pairs of sender and receiver.

private:
	struct Delivery
	{
		std::size_t from;
		std::size_t to;
		Message message;
	};

	std::vector<Delivery> undelivered;
};

} // namespace roadferry

#endif // ROADFERRY_VIRTUAL_NETWORK_H_HEADER_GUARD
