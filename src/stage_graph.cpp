/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Dependency graph of the pieces of one request.

#include <roadferry/parts/batches.h>

#include <algorithm>
#include <utility>

namespace roadferry
{

StageGraph::StageGraph(std::vector<RouteStage> _stages, std::vector<std::int64_t> _pieceCounts)
	: plan(std::move(_stages)), pieces(plan.size())
{
	for (std::size_t stage = 0; stage < this->pieces.size() && stage < _pieceCounts.size(); ++stage)
	{
		this->pieces[stage].resize(static_cast<std::size_t>(std::max<std::int64_t>(0, _pieceCounts[stage])));
	}
}

bool StageGraph::isStageCompleted(std::size_t _stage) const
{
	return std::all_of(this->pieces[_stage].begin(), this->pieces[_stage].end(),
					   [](const Piece& _piece) { return !_piece.handle.empty(); });
}

bool StageGraph::hasDependents(std::size_t _stage) const
{
	return std::any_of(this->plan.begin(), this->plan.end(),
					   [_stage](const RouteStage& _other)
					   { return std::find(_other.after.begin(), _other.after.end(), _stage) != _other.after.end(); });
}

bool StageGraph::isStageStarted(std::size_t _stage) const
{
	return std::all_of(this->pieces[_stage].begin(), this->pieces[_stage].end(),
					   [](const Piece& _piece) { return _piece.started || !_piece.handle.empty(); });
}

std::vector<PieceIndex> StageGraph::takeReady(const std::function<bool(std::size_t)>& _mayStart)
{
	std::vector<PieceIndex> ready;
	for (std::size_t stage = 0; stage < this->pieces.size(); ++stage)
	{
		const std::vector<std::size_t>& after = this->plan[stage].after;
		if (!std::all_of(after.begin(), after.end(),
						 [this](std::size_t _dependency) { return this->isStageCompleted(_dependency); }))
		{
			continue;
		}
		if (_mayStart && !_mayStart(stage))
		{
			continue;
		}
		for (std::size_t piece = 0; piece < this->pieces[stage].size(); ++piece)
		{
			Piece& state = this->pieces[stage][piece];
			if (state.handle.empty() && !state.handedOut)
			{
				state.handedOut = true;
				ready.push_back(PieceIndex{stage, piece});
			}
		}
	}
	return ready;
}

void StageGraph::markCompleted(const PieceIndex& _piece, const std::string& _handle)
{
	this->pieces.at(_piece.stage).at(_piece.piece).handle = _handle;
}

void StageGraph::markStarted(const PieceIndex& _piece)
{
	this->pieces.at(_piece.stage).at(_piece.piece).started = true;
}

void StageGraph::markFailed(const PieceIndex& _piece)
{
	this->pieces.at(_piece.stage).at(_piece.piece) = Piece{};
}

void StageGraph::markLost(const std::string& _handle)
{
	for (auto& stage : this->pieces)
	{
		for (Piece& piece : stage)
		{
			if (piece.handle == _handle)
			{
				piece = Piece{};
			}
		}
	}
}

std::vector<std::string> StageGraph::handlesOf(std::size_t _stage) const
{
	std::vector<std::string> handles;
	for (const Piece& piece : this->pieces.at(_stage))
	{
		handles.push_back(piece.handle);
	}
	return handles;
}

std::vector<std::string> StageGraph::inputsOf(std::size_t _stage) const
{
	std::vector<std::string> inputs;
	for (const std::size_t dependency : this->plan.at(_stage).after)
	{
		const std::vector<std::string> handles = this->handlesOf(dependency);
		inputs.insert(inputs.end(), handles.begin(), handles.end());
	}
	return inputs;
}

bool StageGraph::isComplete() const
{
	for (std::size_t stage = 0; stage < this->plan.size(); ++stage)
	{
		if (!this->hasDependents(stage) && !this->isStageCompleted(stage))
		{
			return false;
		}
	}
	return true;
}

std::vector<std::string> StageGraph::results() const
{
	std::vector<std::string> handles;
	for (std::size_t stage = 0; stage < this->plan.size(); ++stage)
	{
		if (this->hasDependents(stage))
		{
			continue;
		}
		for (const Piece& piece : this->pieces[stage])
		{
			handles.push_back(piece.handle);
		}
	}
	return handles;
}

std::vector<std::string> StageGraph::takeUnneeded()
{
	std::vector<std::string> handles;
	for (std::size_t stage = 0; stage < this->plan.size(); ++stage)
	{
		if (!this->hasDependents(stage))
		{
			continue;
		}
		bool needed = false;
		for (std::size_t other = 0; other < this->plan.size(); ++other)
		{
			const std::vector<std::size_t>& after = this->plan[other].after;
			const bool follows = std::find(after.begin(), after.end(), stage) != after.end();
			needed = needed || (follows && !this->isStageStarted(other));
		}
		for (const Piece& piece : this->pieces[stage])
		{
			if (!needed && !piece.handle.empty() && this->taken.insert(piece.handle).second)
			{
				handles.push_back(piece.handle);
			}
		}
	}
	return handles;
}

std::vector<std::string> StageGraph::takeRemaining()
{
	std::vector<std::string> handles;
	for (const auto& stage : this->pieces)
	{
		for (const Piece& piece : stage)
		{
			if (!piece.handle.empty() && this->taken.insert(piece.handle).second)
			{
				handles.push_back(piece.handle);
			}
		}
	}
	return handles;
}

const std::vector<RouteStage>& StageGraph::stages() const
{
	return this->plan;
}

} // namespace roadferry
